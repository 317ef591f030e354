package nettletrail.app;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.core.SettingsSection;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * The operator file: TOML with one section a subsystem. All of it is checked at once, so that an operator sees every
 * fault in one go; a file with a fault is used by nobody.
 */
final class OperatorFile {
    /** A file larger than this is none that a person wrote. */
    private static final long MOST_BYTES = 1 << 20;

    /** The file can't be used. Each line names file, line and key, the rule that is broken, and what to do. */
    static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<String> lines;

        Unusable(List<String> lines) {
            super(String.join(System.lineSeparator(), lines));
            this.lines = List.copyOf(lines);
        }

        List<String> lines() {
            return lines;
        }
    }

    private final Map<String, SettingsSection.Values> sections;

    private OperatorFile(Map<String, SettingsSection.Values> sections) {
        this.sections = sections;
    }

    /** The section's values; its defaults if the file doesn't have it. */
    SettingsSection.Values section(String name) {
        return sections.get(name);
    }

    /** Reads and checks it. */
    static OperatorFile read(Path path) throws Unusable {
        TomlParseResult parsed;
        try {
            if (Files.size(path) > MOST_BYTES) {
                throw new Unusable(List.of(path + ": is larger than " + MOST_BYTES + " bytes; name an operator file"));
            }
            parsed = Toml.parse(Files.readString(path));
        } catch (MalformedInputException e) {
            throw new Unusable(List.of(path + ": is not UTF-8; write it anew as UTF-8"));
        } catch (IOException e) {
            throw new Unusable(List.of(path + ": can't be read (" + e.getClass().getSimpleName()
                    + "); name a file that is there and that this user may read"));
        }
        List<String> faults = new ArrayList<>();
        parsed.errors().forEach(error -> faults.add(at(path, error.position()) + ": is no TOML: "
                + String.valueOf(error.getMessage()).lines().findFirst().orElse("")));
        if (!faults.isEmpty()) {
            throw new Unusable(faults);
        }
        Map<String, SettingsSection.Values> sections = new LinkedHashMap<>();
        for (Subsystem subsystem : Subsystem.ALL) {
            String name = subsystem.section().name();
            Object given = parsed.get(List.of(name));
            Map<String, Object> values = given instanceof TomlTable table ? plain(table) : Map.of();
            if (given != null && !(given instanceof TomlTable)) {
                faults.add(at(path, parsed.inputPositionOf(List.of(name))) + ": " + name
                        + ": must be a section, [" + name + "]");
            }
            Consumer<SettingsSection.Fault> told = fault -> {
                TomlPosition position = parsed.inputPositionOf(List.of(name, fault.key()));
                faults.add(at(path, position == null ? parsed.inputPositionOf(List.of(name)) : position) + ": " + name
                        + "." + fault.key() + ": " + fault.message());
            };
            int before = faults.size();
            SettingsSection.Values read = subsystem.section().read(values, told);
            if (faults.size() == before) {
                subsystem.check(read, told);
            }
            sections.put(name, read);
        }
        for (String key : parsed.keySet()) {
            if (!sections.containsKey(key)) {
                faults.add(at(path, parsed.inputPositionOf(List.of(key))) + ": " + key
                        + ": is not known here; the file has the sections " + String.join(", ", sections.keySet()));
            }
        }
        if (!faults.isEmpty()) {
            throw new Unusable(faults);
        }
        return new OperatorFile(sections);
    }

    private static String at(Path path, TomlPosition position) {
        return path + ":" + (position == null ? 1 : position.line());
    }

    private static Map<String, Object> plain(TomlTable table) {
        Map<String, Object> plain = new LinkedHashMap<>();
        table.keySet().forEach(key -> plain.put(key, table.get(List.of(key))));
        return plain;
    }
}
