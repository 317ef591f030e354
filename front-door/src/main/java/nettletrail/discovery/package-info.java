/** Client of the discovery agent, which provides the list of backends. */
package nettletrail.discovery;
