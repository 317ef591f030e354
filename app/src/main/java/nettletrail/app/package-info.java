/** The command line with everything on board, and the operator file. */
package nettletrail.app;
