/** Event streams: cut into whole events, and taken up again at another backend. */
package nettletrail.router.stream;
