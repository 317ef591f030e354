/** The adapter that runs the decision module for the simulator. */
package nettletrail.sim;
