/** The upstream side: connections of this process to backends, which carry attempts. */
package nettletrail.upstream;
