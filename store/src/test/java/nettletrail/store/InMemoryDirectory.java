package nettletrail.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A folder in memory that loses power and fails as real ones may: unsynced content is kept, lost or
 * torn; names that were created, renamed or removed since the folder's sync are kept or lost, each
 * on its own; an operation that fails may have taken effect.
 */
final class InMemoryDirectory implements Directory {

  /** A file that outlives its names. */
  private static final class Content {
    byte[] written = new byte[0];
    byte[] durable = new byte[0];
  }

  private interface NameChange {
    void applyTo(Map<String, Content> names);
  }

  private final Random random;
  private final Map<String, InMemoryDirectory> subdirectories = new HashMap<>();
  private final List<NameChange> unsyncedChanges = new ArrayList<>();
  private Map<String, Content> names = new HashMap<>();
  private Map<String, Content> durableNames = new HashMap<>();
  private double failureRate;
  private boolean removalsFail;

  InMemoryDirectory(Random random) {
    this.random = random;
  }

  /** Makes this share of the operations fail from now on, in subfolders too; 0 to 1. */
  void failWith(double rate) {
    failureRate = rate;
    subdirectories.values().forEach(directory -> directory.failWith(rate));
  }

  /** Makes each removal fail without effect, or lets it work again. */
  void failRemovals(boolean fail) {
    removalsFail = fail;
  }

  /** Drops, keeps or tears what isn't durable, drawn for each change. */
  void losePower() {
    for (NameChange change : unsyncedChanges) {
      if (random.nextBoolean()) {
        change.applyTo(durableNames);
      }
    }
    unsyncedChanges.clear();
    for (Content content : durableNames.values()) {
      content.written = afterPowerLoss(content);
      content.durable = content.written;
    }
    names = new HashMap<>(durableNames);
    subdirectories.values().forEach(InMemoryDirectory::losePower);
  }

  private byte[] afterPowerLoss(Content content) {
    if (Arrays.equals(content.written, content.durable)) {
      return content.durable;
    }
    return switch (random.nextInt(3)) {
      case 0 -> content.durable;
      case 1 -> content.written;
      default -> Arrays.copyOf(content.written, random.nextInt(content.written.length + 1));
    };
  }

  private void change(NameChange change) {
    change.applyTo(names);
    unsyncedChanges.add(change);
  }

  /** Runs an operation, or fails before or after it. */
  private void attempt(StorageException.Step step, String file, Runnable operation)
      throws StorageException {
    boolean fails = random.nextDouble() < failureRate;
    if (!fails || random.nextBoolean()) {
      operation.run();
    }
    if (fails) {
      throw new StorageException(step, file, "injected", null);
    }
  }

  private Content existing(StorageException.Step step, String name) throws StorageException {
    Content content = names.get(name);
    if (content == null) {
      throw new StorageException(step, name, "no such file", null);
    }
    return content;
  }

  @Override
  public List<String> list() {
    return new ArrayList<>(names.keySet());
  }

  @Override
  public byte[] read(String name) throws StorageException {
    return existing(StorageException.Step.READ, name).written.clone();
  }

  @Override
  public void write(String name, byte[] content) throws StorageException {
    attempt(
        StorageException.Step.WRITE,
        name,
        () -> {
          if (!names.containsKey(name)) {
            Content created = new Content();
            change(target -> target.put(name, created));
          }
          names.get(name).written = content.clone();
        });
  }

  @Override
  public void sync(String name) throws StorageException {
    Content content = existing(StorageException.Step.SYNC, name);
    attempt(
        StorageException.Step.SYNC,
        name,
        () -> {
          content.durable = content.written;
          durableNames.put(name, content);
        });
  }

  @Override
  public void rename(String from, String to) throws StorageException {
    Content content = existing(StorageException.Step.RENAME, from);
    attempt(
        StorageException.Step.RENAME,
        from,
        () ->
            change(
                target -> {
                  target.remove(from);
                  target.put(to, content);
                }));
  }

  @Override
  public void remove(String name) throws StorageException {
    if (removalsFail) {
      throw new StorageException(StorageException.Step.REMOVE, name, "injected", null);
    }
    attempt(StorageException.Step.REMOVE, name, () -> change(target -> target.remove(name)));
  }

  @Override
  public void syncDirectory() throws StorageException {
    attempt(
        StorageException.Step.SYNC_DIRECTORY,
        "",
        () -> {
          durableNames = new HashMap<>(names);
          unsyncedChanges.clear();
        });
  }

  @Override
  public Directory subdirectory(String name) {
    return subdirectories.computeIfAbsent(name, created -> new InMemoryDirectory(random));
  }
}
