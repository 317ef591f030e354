package nettletrail.fleet.settings;

/**
 * The resources that the machine gives this process: the keys {@code limits.*}.
 *
 * @param cpuShare share of one processor core, from 0
 * @param coreCount speed of that processor core, as a multiple of a standard one
 * @param memoryMegabytes memory above which the process is killed
 * @param fileLimit open file descriptors
 * @param linkMegabitsPerSecond bandwidth of the machine's network link
 * @param diskMegabytes size of the disk; 0 on machines without one
 */
public record MachineLimits(
    double cpuShare,
    double coreCount,
    int memoryMegabytes,
    int fileLimit,
    double linkMegabitsPerSecond,
    int diskMegabytes) {}
