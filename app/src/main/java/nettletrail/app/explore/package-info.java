/** All orders of steps of a small world around real deciders, within bounds. */
package nettletrail.app.explore;
