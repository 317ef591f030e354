/** Reading of the text in headers and events. */
package nettletrail.router.text;
