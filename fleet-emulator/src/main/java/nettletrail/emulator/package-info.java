/** An in-memory fleet: network, disks, clocks, engines, judge; for tests and experiments. */
package nettletrail.emulator;
