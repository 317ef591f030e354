package nettletrail.emulator.host;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.emulator.simulation.SimulatedDisk;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.store.StorageException;

/**
 * The storage thread of a simulated process: one write after another, each done when the disk is
 * done with it.
 */
final class StorageQueue {
  /** A blocking write. */
  interface Write {
    void run() throws StorageException;
  }

  private static final int MAX_WAITING = 64;

  private final VirtualTime time;
  private final SimulatedMachine.Incarnation incarnation;
  private final SimulatedDisk disk;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private boolean busy;

  StorageQueue(VirtualTime time, SimulatedMachine.Incarnation incarnation) {
    this.time = time;
    this.incarnation = incarnation;
    this.disk = incarnation.machine().disk();
  }

  /** Runs a write after those before it; the outcome comes as a step of the process. */
  void submit(Write write, Consumer<StoreOutcome> done) {
    if (waiting.size() >= MAX_WAITING) {
      done.accept(StoreOutcome.failed("the storage queue is full"));
      return;
    }
    waiting.add(new Job(write, done));
    startNext();
  }

  private void startNext() {
    if (busy || waiting.isEmpty()) {
      return;
    }
    busy = true;
    Job job = waiting.poll();
    StoreOutcome outcome = run(job.write);
    time.at(disk.busyUntil(), () -> incarnation.run(() -> finish(job, outcome)));
  }

  private void finish(Job job, StoreOutcome outcome) {
    busy = false;
    startNext();
    job.done.accept(outcome);
  }

  private static StoreOutcome run(Write write) {
    try {
      write.run();
      return StoreOutcome.STORED;
    } catch (StorageException failure) {
      return StoreOutcome.failed(failure.getMessage());
    }
  }

  private record Job(Write write, Consumer<StoreOutcome> done) {}
}
