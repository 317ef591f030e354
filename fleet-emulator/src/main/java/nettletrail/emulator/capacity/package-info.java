/**
 * What a fleet costs at the size that it is designed for: the numbers of that size, messages as
 * they are encoded, the cost of single steps, and lines fitted through measured sizes.
 */
package nettletrail.emulator.capacity;
