package nettletrail.fleet.cli;

import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/**
 * A file with a configuration and its digest, by which damage is detected. It contains the keys of
 * tenants, so that it is created readable by its owner only.
 */
final class SnapshotFile {
  private static final int FORMAT = 1;
  private static final String FORMAT_FIELD = "format";
  private static final String EDITION_FIELD = "edition";
  private static final String DIGEST_FIELD = "sha256";
  private static final String DOCUMENT_FIELD = "document";
  private static final String OWNER_ONLY = "rw-------";

  private SnapshotFile() {}

  /**
   * Creates a file.
   *
   * @throws CommandException if it exists or can't be written
   */
  static void write(String name, ConfigurationDocument document) throws CommandException {
    JsonObject json =
        new JsonObject()
            .put(FORMAT_FIELD, FORMAT)
            .put(EDITION_FIELD, document.edition())
            .put(DIGEST_FIELD, digest(document.json()))
            .put(DOCUMENT_FIELD, new String(document.json(), StandardCharsets.UTF_8));
    byte[] bytes = (json + "\n").getBytes(StandardCharsets.UTF_8);
    try {
      Path file = Path.of(name);
      Files.createFile(
          file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
      Files.write(file, bytes, StandardOpenOption.WRITE);
    } catch (IOException | IllegalArgumentException | UnsupportedOperationException failure) {
      throw new CommandException(
          ExitCode.USAGE, CommandStep.WRITE, name, failure.toString(), failure);
    }
  }

  /**
   * Reads a file and checks its format, its digest and the configuration in it.
   *
   * @throws CommandException if it can't be read or is damaged
   */
  static ConfigurationDocument read(String name) throws CommandException {
    byte[] bytes = InputFile.read(name);
    try {
      Any json = JsonIterator.deserialize(bytes);
      if (json.get(FORMAT_FIELD).toInt() != FORMAT) {
        throw damaged(name, "its format isn't " + FORMAT);
      }
      byte[] document = json.get(DOCUMENT_FIELD).toString().getBytes(StandardCharsets.UTF_8);
      if (!digest(document).equals(json.get(DIGEST_FIELD).toString())) {
        throw damaged(name, "the document doesn't match its digest");
      }
      ConfigurationDocument configuration = ConfigurationDocument.parse(document);
      configuration.requireValidAfter(configuration.edition() - 1);
      if (configuration.edition() != json.get(EDITION_FIELD).toLong()) {
        throw damaged(name, "the document's edition isn't the snapshot's");
      }
      return configuration;
    } catch (JsonException | IndexOutOfBoundsException | ConfigurationException failure) {
      throw new CommandException(
          ExitCode.DIFFERENT, CommandStep.CHECK, name, failure.getMessage(), failure);
    }
  }

  private static CommandException damaged(String name, String reason) {
    return new CommandException(ExitCode.DIFFERENT, CommandStep.CHECK, name, reason);
  }

  private static String digest(byte[] document) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(document));
    } catch (NoSuchAlgorithmException unavailable) {
      throw new IllegalStateException(unavailable);
    }
  }
}
