package nettletrail.app.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the kernel tells of a process; 0 where it tells nothing. */
final class ProcessMemory {
    private static final double KB_A_MB = 1_024;

    private ProcessMemory() { }

    /** Resident, MB. */
    static double residentMb(long pid) {
        return status(pid, "VmRSS:");
    }

    /** The most that was ever resident, MB. */
    static double peakMb(long pid) {
        return status(pid, "VmHWM:");
    }

    private static double status(long pid, String key) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith(key)) {
                    return Long.parseLong(line.substring(key.length()).replace("kB", "").strip()) / KB_A_MB;
                }
            }
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
        return 0;
    }
}
