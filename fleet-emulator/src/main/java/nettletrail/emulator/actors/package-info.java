/**
 * The simulated clients of a fleet: operators, backends, and requests at doors. They use a fleet by
 * its messages only and report what they observe to a {@link
 * nettletrail.emulator.actors.ClientObserver}; they check nothing.
 *
 * <p>Entry classes: {@link nettletrail.emulator.actors.OperatorActor}, {@link
 * nettletrail.emulator.actors.BackendActor}, {@link nettletrail.emulator.actors.DoorTraffic}.
 */
package nettletrail.emulator.actors;
