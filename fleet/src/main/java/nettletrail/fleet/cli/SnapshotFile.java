package nettletrail.fleet.cli;

import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.output.JsonStream;
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
import java.util.LinkedHashMap;
import java.util.Map;
import nettletrail.configuration.ConfigurationDocument;
import nettletrail.configuration.ConfigurationException;

/**
 * A configuration in a file, with what is needed to see that it came through whole. Holds keys of
 * tenants: the file is made readable by its owner only.
 */
final class SnapshotFile {
  private static final int FORMAT = 1;
  private static final String FORMAT_FIELD = "format";
  private static final String EDITION_FIELD = "edition";
  private static final String DIGEST_FIELD = "sha256";
  private static final String DOCUMENT_FIELD = "document";
  private static final String OWNER_ONLY = "rw-------";

  private SnapshotFile() {}

  /** Writes a file that doesn't exist yet. */
  static void write(String name, ConfigurationDocument document) throws ClientException {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put(FORMAT_FIELD, FORMAT);
    json.put(EDITION_FIELD, document.edition());
    json.put(DIGEST_FIELD, digest(document.json()));
    json.put(DOCUMENT_FIELD, new String(document.json(), StandardCharsets.UTF_8));
    byte[] bytes = (JsonStream.serialize(json) + "\n").getBytes(StandardCharsets.UTF_8);
    try {
      Path file = Path.of(name);
      Files.createFile(
          file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
      Files.write(file, bytes, StandardOpenOption.WRITE);
    } catch (IOException | IllegalArgumentException | UnsupportedOperationException failure) {
      throw new ClientException(ExitCode.USAGE, ClientStep.WRITE, name, failure.toString());
    }
  }

  /** Reads a file and checks its format, its digest and the configuration in it. */
  static ConfigurationDocument read(String name) throws ClientException {
    byte[] bytes = InputFile.read(name);
    try {
      Any json = JsonIterator.deserialize(bytes);
      if (json.get(FORMAT_FIELD).toInt() != FORMAT) {
        throw faulty(name, "its format isn't " + FORMAT);
      }
      byte[] document = json.get(DOCUMENT_FIELD).toString().getBytes(StandardCharsets.UTF_8);
      if (!digest(document).equals(json.get(DIGEST_FIELD).toString())) {
        throw faulty(name, "the document doesn't match its digest");
      }
      ConfigurationDocument configuration = ConfigurationDocument.parse(document);
      configuration.requireValidAfter(configuration.edition() - 1);
      if (configuration.edition() != json.get(EDITION_FIELD).toLong()) {
        throw faulty(name, "the document's edition isn't the snapshot's");
      }
      return configuration;
    } catch (JsonException | IndexOutOfBoundsException | ConfigurationException failure) {
      throw faulty(name, failure.getMessage());
    }
  }

  private static ClientException faulty(String name, String reason) {
    return new ClientException(ExitCode.DIFFERENT, ClientStep.CHECK, name, reason);
  }

  private static String digest(byte[] document) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(document));
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}
