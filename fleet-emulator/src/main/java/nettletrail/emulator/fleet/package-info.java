/**
 * A whole emulated fleet: machines with their processes, troubles that befall them, and all judges
 * together.
 */
package nettletrail.emulator.fleet;
