package nettletrail.core;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Arrays;
import java.util.Set;

/** Reads secrets from files that only the current user may access. */
public final class SecretFile {
  private static final int MAX_BYTES = 4_096;
  private static final Set<PosixFilePermission> FORBIDDEN_PERMISSIONS =
      Set.of(
          PosixFilePermission.GROUP_READ,
          PosixFilePermission.GROUP_WRITE,
          PosixFilePermission.OTHERS_READ,
          PosixFilePermission.OTHERS_WRITE);

  private SecretFile() {}

  /**
   * Reads the secret without its line end, anew on each call. The caller must clear the array after
   * use.
   *
   * @throws IOException if the file can't be read or others may access it; the message doesn't
   *     contain the secret
   */
  public static char[] read(String file) throws IOException {
    Path path = Path.of(file);
    try {
      for (PosixFilePermission each : Files.getPosixFilePermissions(path)) {
        if (FORBIDDEN_PERMISSIONS.contains(each)) {
          throw new IOException(file + " may be read or written by others; chmod 600 it");
        }
      }
      byte[] bytes = Files.readAllBytes(path);
      if (bytes.length == 0 || bytes.length > MAX_BYTES) {
        throw new IOException(file + " must hold a secret of 1 to " + MAX_BYTES + " bytes");
      }
      CharBuffer text = StandardCharsets.UTF_8.decode(ByteBuffer.wrap(bytes));
      Arrays.fill(bytes, (byte) 0);
      int length = text.length();
      while (length > 0 && (text.charAt(length - 1) == '\n' || text.charAt(length - 1) == '\r')) {
        length--;
      }
      char[] secret = new char[length];
      text.get(secret);
      Arrays.fill(text.array(), '\0');
      return secret;
    } catch (FileSystemException e) {
      throw new IOException(
          file
              + " can't be read ("
              + e.getClass().getSimpleName()
              + "); name a file that this user may read",
          e);
    }
  }
}
