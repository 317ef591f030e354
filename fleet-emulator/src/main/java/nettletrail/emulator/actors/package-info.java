/**
 * Those who use a fleet: operators, backends, and the traffic at the doors. Each reports to the
 * judge what it saw.
 */
package nettletrail.emulator.actors;
