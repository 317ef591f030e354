package nettletrail.emulator.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One machine with at most one process. Every step of the process goes through {@link
 * Incarnation#run}, so it can be killed or frozen between any two steps. A frozen process runs its
 * steps after it was thawed, an ended one never does. A machine with a {@link CpuQuota} runs them
 * in the first part of each period; unlike a frozen one it counts as running all the while.
 */
public final class SimulatedMachine {
  /** How a process ends. */
  public enum End {
    /** The process is killed; the kernel closes its connections and keeps its files. */
    KILL,
    /** The machine stops: peers are not notified, and the disk may lose unsynced writes. */
    POWER_LOSS
  }

  private final String name;
  private final VirtualTime time;
  private final MachineClock clock;
  private final SimulatedDisk disk;
  private final String host;
  private Incarnation incarnation;
  private int incarnations;
  private boolean powered = true;

  /** Null without a quota. */
  private CpuQuota cpuQuota;

  /**
   * @param host the machine's IP number
   * @param disk the machine's disk, or null if it has none
   */
  public SimulatedMachine(
      String name, String host, VirtualTime time, MachineClock clock, SimulatedDisk disk) {
    this.name = name;
    this.host = host;
    this.time = time;
    this.clock = clock;
    this.disk = disk;
  }

  /** The machine's name in logs. */
  public String name() {
    return name;
  }

  /** The machine's IP number, as others dial it. */
  public String host() {
    return host;
  }

  /** The machine's clocks. */
  public MachineClock clock() {
    return clock;
  }

  /** The machine's disk; null if it has none. */
  public SimulatedDisk disk() {
    return disk;
  }

  /** The incarnation of the present process; null while there is none. */
  public Incarnation incarnation() {
    return incarnation;
  }

  /** True while there is a process, frozen or not. */
  public boolean isUp() {
    return incarnation != null;
  }

  /** True while there is a process that is not frozen. */
  public boolean isRunning() {
    return incarnation != null && !incarnation.frozen;
  }

  /** True unless the machine has lost power and no process was started since. */
  public boolean isPowered() {
    return powered;
  }

  /**
   * Starts a process.
   *
   * @throws IllegalStateException if there is one
   */
  public Incarnation start() {
    if (incarnation != null) {
      throw new IllegalStateException(name + " runs already");
    }
    powered = true;
    incarnations++;
    incarnation = new Incarnation(incarnations);
    return incarnation;
  }

  /** Ends the process, if there is one. */
  public void end(End end) {
    if (disk != null) {
      disk.stopWriting();
    }
    Incarnation ended = incarnation;
    incarnation = null;
    if (end == End.POWER_LOSS) {
      powered = false;
      if (disk != null) {
        disk.losePower();
      }
    }
    if (ended != null) {
      ended.finish(end);
    }
  }

  /** Limits this and later processes to a share of a core; null ends the limit. */
  public void limitCpu(CpuQuota quota) {
    cpuQuota = quota;
  }

  /** Stops the process from running steps until {@link #thaw}. */
  public void freeze() {
    if (incarnation != null) {
      incarnation.frozen = true;
    }
  }

  /** Resumes a frozen process, which first runs its deferred steps in order. */
  public void thaw() {
    if (incarnation != null) {
      incarnation.thaw();
    }
  }

  @Override
  public String toString() {
    return name;
  }

  /** One run of a process, from its start to its end. */
  public final class Incarnation {
    private final int number;
    private final List<EndListener> endListeners = new ArrayList<>();
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private boolean frozen;
    private boolean ended;
    private boolean resumeScheduled;

    private Incarnation(int number) {
      this.number = number;
    }

    /** The number of this incarnation on its machine, from 1. */
    public int number() {
      return number;
    }

    /** The machine on which the process runs. */
    public SimulatedMachine machine() {
      return SimulatedMachine.this;
    }

    /** False once the process has ended. */
    public boolean isAlive() {
      return !ended;
    }

    /**
     * Runs a step now, or after the process is thawed, or in the next period of its quota; never if
     * it has ended by then.
     */
    public void run(Runnable step) {
      if (ended) {
        return;
      }
      if (frozen || isStandingStill()) {
        deferred.add(step);
        scheduleResume();
        return;
      }
      step.run();
    }

    private boolean isStandingStill() {
      return cpuQuota != null && cpuQuota.isSpent(time.now());
    }

    private void scheduleResume() {
      if (frozen || resumeScheduled) {
        return;
      }
      resumeScheduled = true;
      time.after(cpuQuota.nanosToNextPeriod(time.now()), this::resume);
    }

    private void resume() {
      resumeScheduled = false;
      runDeferred();
    }

    /** Runs a step after a delay in nanoseconds, under the rules of {@link #run}. */
    public VirtualTime.Event after(long delay, Runnable step) {
      return time.after(delay, () -> run(step));
    }

    /** Adds a listener for the end of this incarnation. */
    public void onEnd(EndListener listener) {
      endListeners.add(listener);
    }

    private void thaw() {
      frozen = false;
      runDeferred();
    }

    private void runDeferred() {
      while (!deferred.isEmpty() && !frozen && !ended && !isStandingStill()) {
        deferred.poll().run();
      }
      if (!deferred.isEmpty() && isStandingStill()) {
        scheduleResume();
      }
    }

    private void finish(End end) {
      ended = true;
      deferred.clear();
      for (EndListener listener : endListeners) {
        listener.ended(end);
      }
    }
  }

  /** Notified when a process ends. */
  @FunctionalInterface
  public interface EndListener {
    /** The process has ended; called once. */
    void ended(End end);
  }
}
