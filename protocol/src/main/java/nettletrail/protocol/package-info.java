/** Messages between the processes of a fleet (Avro) and the framed links that carry them. */
package nettletrail.protocol;
