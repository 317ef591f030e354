/** The HTTP/1.1 server side: client connections and their requests. */
package nettletrail.http;
