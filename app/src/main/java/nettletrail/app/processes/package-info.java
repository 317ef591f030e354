/**
 * The rig for several processes of the program under failure: starting, stopping, killing and starting them again, the
 * links between them, and what they say in one log. One for all subsystems.
 */
package nettletrail.app.processes;
