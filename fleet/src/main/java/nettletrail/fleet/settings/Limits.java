package nettletrail.fleet.settings;

/**
 * What the machine gives this process.
 *
 * @param cpuShare share of one core
 * @param coreCount how many times as fast as a plain core that core is
 * @param memoryMegabytes memory over which the process is killed
 * @param fileLimit descriptors
 * @param linkMegabitsPerSecond bandwidth of the machine's link
 * @param diskMegabytes size of the disk; 0 for none
 */
public record Limits(
    double cpuShare,
    double coreCount,
    int memoryMegabytes,
    int fileLimit,
    double linkMegabitsPerSecond,
    int diskMegabytes) {}
