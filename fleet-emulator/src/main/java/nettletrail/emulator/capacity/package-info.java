/**
 * What a fleet costs at the size that it is designed for: the numbers of that size, messages as
 * they are encoded, and runs of the control plane's deciders at growing sizes.
 */
package nettletrail.emulator.capacity;
