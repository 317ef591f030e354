package nettletrail.emulator.capacity.sockets;

import java.util.concurrent.atomic.AtomicLong;
import nettletrail.emulator.capacity.BackendReports;
import nettletrail.emulator.capacity.FleetNames;

/**
 * Hollow backends that only call, each to one core process, or to the next while that doesn't
 * answer. A thread for each process.
 */
final class SocketBackends implements AutoCloseable {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long HEARTBEAT_MS = 1_200;
  private static final int OK = 200;

  private final CoreProcesses cores;
  private final HttpCaller caller = new HttpCaller();
  private final int count;
  private final AtomicLong failed = new AtomicLong();
  private final Thread[] threads = new Thread[CoreProcesses.COUNT];

  SocketBackends(CoreProcesses cores, int count) {
    this.cores = cores;
    this.count = count;
    for (int i = 0; i < threads.length; i++) {
      int home = i;
      threads[i] = new Thread(() -> heartbeat(home), "backends-" + i);
      threads[i].setDaemon(true);
      threads[i].start();
    }
  }

  /** Calls that got no 200 so far. */
  long failed() {
    return failed.get();
  }

  private void heartbeat(int home) {
    long sequence = 0;
    try {
      while (true) {
        long began = System.nanoTime();
        sequence++;
        for (int number = home; number < count; number += CoreProcesses.COUNT) {
          call(home, number, sequence);
        }
        long spentMs = (System.nanoTime() - began) / NANOS_PER_MILLI;
        Thread.sleep(Math.max(1, HEARTBEAT_MS - spentMs));
      }
    } catch (InterruptedException closed) {
      Thread.currentThread().interrupt();
    }
  }

  private void call(int home, int number, long sequence) throws InterruptedException {
    byte[] body = BackendReports.json(number, sequence);
    for (int i = 0; i < CoreProcesses.COUNT; i++) {
      String core = cores.control((home + i) % CoreProcesses.COUNT);
      String url = core + "/nettletrail/backends/" + FleetNames.backend(number);
      if (caller.call("PUT", url, "", body) == OK) {
        return;
      }
      failed.incrementAndGet();
    }
  }

  @Override
  public void close() {
    for (Thread thread : threads) {
      thread.interrupt();
    }
  }
}
