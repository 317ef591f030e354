package nettletrail.emulator.simulation;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The content of a disk, as the running system sees it and as a loss of power leaves it. A file's
 * name begins with the name of its folder, which ends in a slash; the root folder's name is empty.
 *
 * <p>Written bytes are durable once the file is synced; a creation, renaming or removal is durable
 * once the folder is synced. A loss of power keeps, loses or tears each unsynced write
 * independently of the others, and keeps or loses each unsynced change of a name.
 */
final class DiskContent {
  /** The effect of a loss of power on unsynced writes. */
  enum Loss {
    /** All of them are lost. */
    ALL,
    /** Each is kept, lost or torn at random. */
    SOME
  }

  private final Map<String, FileNode> names = new TreeMap<>();
  private final Map<String, FileNode> durableNames = new TreeMap<>();
  private final List<NameChange> unsyncedChanges = new ArrayList<>();

  /** A copy that shares nothing with this one. */
  DiskContent copy() {
    DiskContent copy = new DiskContent();
    Map<FileNode, FileNode> copies = new LinkedHashMap<>();
    names.forEach((name, node) -> copy.names.put(name, copyOf(node, copies)));
    durableNames.forEach((name, node) -> copy.durableNames.put(name, copyOf(node, copies)));
    for (NameChange change : unsyncedChanges) {
      FileNode node = change.node == null ? null : copyOf(change.node, copies);
      copy.unsyncedChanges.add(new NameChange(change.from, change.to, node));
    }
    return copy;
  }

  /** The full names of the files in one folder, without those in its subfolders. */
  List<String> list(String folder) {
    return names.keySet().stream().filter(name -> folderOf(name).equals(folder)).toList();
  }

  private static String folderOf(String name) {
    return name.substring(0, name.lastIndexOf('/') + 1);
  }

  /** A file's bytes; null if there is no such file. */
  byte[] read(String name) {
    FileNode node = names.get(name);
    return node == null ? null : node.content();
  }

  /** Creates an empty file; an existing one of that name is replaced. */
  void create(String name) {
    FileNode node = new FileNode();
    names.put(name, node);
    unsyncedChanges.add(new NameChange(null, name, node));
  }

  void append(String name, byte[] bytes) {
    FileNode node = names.get(name);
    if (node != null) {
      node.unsynced.add(bytes);
    }
  }

  void sync(String name) {
    FileNode node = names.get(name);
    if (node != null) {
      node.synced = node.content();
      node.unsynced.clear();
    }
  }

  void rename(String from, String to) {
    FileNode node = names.remove(from);
    if (node != null) {
      names.put(to, node);
      unsyncedChanges.add(new NameChange(from, to, node));
    }
  }

  void remove(String name) {
    if (names.remove(name) != null) {
      unsyncedChanges.add(new NameChange(name, null, null));
    }
  }

  void syncFolder(String folder) {
    durableNames.keySet().removeIf(name -> folderOf(name).equals(folder));
    for (String name : list(folder)) {
      durableNames.put(name, names.get(name));
    }
    unsyncedChanges.removeIf(change -> change.isIn(folder));
  }

  /** Applies a loss of power. */
  void losePower(Loss loss, SplittableRandom random) {
    for (NameChange change : unsyncedChanges) {
      if (loss == Loss.SOME && random.nextBoolean()) {
        change.applyTo(durableNames);
      }
    }
    unsyncedChanges.clear();
    names.clear();
    names.putAll(durableNames);
    for (FileNode node : names.values()) {
      node.losePower(loss, random);
    }
  }

  private static FileNode copyOf(FileNode node, Map<FileNode, FileNode> copies) {
    return copies.computeIfAbsent(node, FileNode::copy);
  }

  private static final class FileNode {
    private byte[] synced = new byte[0];
    private final List<byte[]> unsynced = new ArrayList<>();

    FileNode copy() {
      FileNode copy = new FileNode();
      copy.synced = synced;
      copy.unsynced.addAll(unsynced);
      return copy;
    }

    byte[] content() {
      if (unsynced.isEmpty()) {
        return synced;
      }
      ByteArrayOutputStream content = new ByteArrayOutputStream();
      content.writeBytes(synced);
      unsynced.forEach(content::writeBytes);
      return content.toByteArray();
    }

    void losePower(Loss loss, SplittableRandom random) {
      if (loss == Loss.SOME) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        content.writeBytes(synced);
        unsynced.forEach(write -> content.writeBytes(remainderOf(write, random)));
        synced = content.toByteArray();
      }
      unsynced.clear();
    }

    /** The complete write, nothing, its first bytes, or its first bytes followed by zeros. */
    private static byte[] remainderOf(byte[] write, SplittableRandom random) {
      if (random.nextBoolean()) {
        return random.nextBoolean() ? write : new byte[0];
      }
      byte[] firstBytes = Arrays.copyOf(write, random.nextInt(write.length + 1));
      return random.nextBoolean() ? firstBytes : Arrays.copyOf(firstBytes, write.length);
    }
  }

  /** A file created (from is null), renamed, or removed (to is null). */
  private record NameChange(String from, String to, FileNode node) {
    boolean isIn(String folder) {
      return folderOf(from != null ? from : to).equals(folder);
    }

    void applyTo(Map<String, FileNode> folder) {
      if (from != null) {
        folder.remove(from);
      }
      if (to != null) {
        folder.put(to, node);
      }
    }
  }
}
