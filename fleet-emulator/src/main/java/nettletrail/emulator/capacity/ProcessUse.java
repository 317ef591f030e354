package nettletrail.emulator.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the kernel tells of a process; 0 where it tells nothing. */
public final class ProcessUse {
  private static final double KB_A_MB = 1_024;
  private static final double TICKS_A_SECOND = 100;

  /** Places of user and system time after the process's name in its status line. */
  private static final int USER_TIME = 11;

  private static final int SYSTEM_TIME = 12;

  private ProcessUse() {}

  /** Resident, MB. */
  public static double residentMb(long pid) {
    return status(pid, "VmRSS:");
  }

  /** The most that was ever resident, MB. */
  public static double peakMb(long pid) {
    return status(pid, "VmHWM:");
  }

  /** Processor time of all threads so far, seconds. */
  public static double cpuSeconds(long pid) {
    try {
      String line = Files.readString(Path.of("/proc/" + pid + "/stat"));
      String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ");
      return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]))
          / TICKS_A_SECOND;
    } catch (IOException | NumberFormatException e) {
      return 0;
    }
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
