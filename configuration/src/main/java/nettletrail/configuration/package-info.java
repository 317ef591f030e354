/**
 * The operator's configuration: parsing, validating and patching documents, and the routing table
 * compiled from one.
 *
 * <p>Entry classes: {@link nettletrail.configuration.ConfigurationDocument} for one edition of the
 * document, {@link nettletrail.configuration.RoutingTable} for use per request, {@link
 * nettletrail.configuration.CompressedDocument} for the stored form. Whatever bytes come in, the
 * outcome is a document or a {@link nettletrail.configuration.ConfigurationException} that names
 * step, place and reason.
 *
 * <p>The package decides on nothing but the document itself: it knows no shards, editions in force
 * or files, does no input or output and logs nothing. Names of JSON fields are the operators'
 * interface and keep their forms; fields that are not known are kept by patches and ignored by the
 * model.
 *
 * <p>Thread: parsing is for one thread a call; the results are immutable and safe for all threads.
 */
package nettletrail.configuration;
