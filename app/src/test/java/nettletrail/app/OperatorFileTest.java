package nettletrail.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import nettletrail.decision.ApertureSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@code check FILE}: exit status 2 and one line for each fault, with file, line and key. */
class OperatorFileTest {
    @TempDir
    private Path folder;

    private record Ran(int status, String out, String err) { }

    private static Ran run(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int status = App.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err))
                .execute(arguments);
        return new Ran(status, out.toString(), err.toString());
    }

    private Ran check(String text) throws Exception {
        Path file = folder.resolve("operator.toml");
        Files.writeString(file, text);
        Ran ran = run("check", file.toString());
        return new Ran(ran.status(), ran.out(), ran.err().replace(folder + "/", ""));
    }

    @Test
    void theFileThatIsDeliveredIsSound() {
        Ran ran = run("check", "../deploy/operator.toml");
        assertEquals(0, ran.status(), ran.err());
        assertTrue(ran.out().contains("sound"));
    }

    /** All of its keys are in it, each with its default: what it shows is what holds where it is silent. */
    @Test
    void theFileThatIsDeliveredShowsEveryKeyWithItsDefault() throws Exception {
        assertEquals(run("keys", "--toml").out(), Files.readString(Path.of("../deploy/operator.toml")));
    }

    @Test
    void everyFaultIsNamedInOneGo() throws Exception {
        Ran ran = check("[ext_proc]\nbudget_ms = 2\n\nlisten = \"here:1\"\nspeed = 3\n\n[unknown]\nx = 1\n");
        assertEquals(2, ran.status());
        assertTrue(ran.err().contains("operator.toml:2: ext_proc.budget_ms: must be a whole number from 5 to 1000"),
                ran.err());
        assertTrue(ran.err().contains("operator.toml:4: ext_proc.listen: must be IP:PORT"), ran.err());
        assertTrue(ran.err().contains("operator.toml:5: ext_proc.speed: is no key of [ext_proc]"), ran.err());
        assertTrue(ran.err().contains("operator.toml:7: unknown: is not known here"), ran.err());
        assertEquals(4, ran.err().lines().count(), ran.err());
    }

    @Test
    void theApertureIsCheckedAndTaken() throws Exception {
        Ran ran = check("[aperture]\nenabled = 1\nleast = 0\ndoors_per_backend = -1\n");
        assertEquals(2, ran.status());
        assertTrue(ran.err().contains("operator.toml:2: aperture.enabled: must be true or false"), ran.err());
        assertTrue(ran.err().contains("operator.toml:3: aperture.least: must be a whole number from 1 to 1000000"),
                ran.err());
        assertTrue(ran.err().contains("operator.toml:4: aperture.doors_per_backend: must be a whole number"), ran.err());
        Path file = folder.resolve("operator.toml");
        Files.writeString(file, "[aperture]\nenabled = false\nleast = 6\ndoors_per_backend = 2\n");
        assertEquals(new ApertureSettings(false, 6, 2), App.additions(OperatorFile.read(file)).aperture());
        Files.writeString(file, "");
        assertEquals(ApertureSettings.DEFAULT, App.additions(OperatorFile.read(file)).aperture());
    }

    @Test
    void whatIsNoTomlIsNamedByItsLine() throws Exception {
        Ran ran = check("[ext_proc]\nenabled = maybe\n");
        assertEquals(2, ran.status());
        assertTrue(ran.err().contains("operator.toml:2: is no TOML"), ran.err());
        assertTrue(check("ext_proc = 3\n").err().contains("operator.toml:1: ext_proc: must be a section"));
    }

    @Test
    void aFileThatCannotBeReadIsNamed() throws Exception {
        assertTrue(run("check", folder.resolve("none.toml").toString()).err().contains("can't be read"));
        assertEquals(2, run("check", folder.toString()).status());
        Path odd = folder.resolve("odd.toml");
        Files.write(odd, "x = \"\u00e9\"".getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(run("check", odd.toString()).err().contains("is not UTF-8"));
    }

    @Test
    void serveWithABadFileSaysSoAndStartsNothing() throws Exception {
        Path file = folder.resolve("operator.toml");
        Files.writeString(file, "[ext_proc]\nbudget_ms = 2\n");
        assertEquals(2, run("serve", "--operator", file.toString()).status());
    }

    @Test
    void anUnknownMeasurementIsNamed() {
        Ran ran = run("measure", "nothing");
        assertEquals(2, ran.status());
        assertEquals("measure: 'nothing' is no measurement; there are: capacity, ext-proc, faults, front-door, limits, roles, start, tokens",
                ran.err().strip());
    }
}
