package passhatch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

class CommandsTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine line =
                Commands.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        return line.execute(args);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "wrong", "--wrong", "serve extra", "adapter --wrong", "rehearse extra"})
    void aUsageErrorIsOneLineAndExitCode2(String args) {
        assertEquals(Commands.EXIT_USAGE, run(args.isEmpty() ? new String[0] : args.split(" ")));
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertTrue(err.toString().startsWith("passhatch: "), err.toString());
        assertEquals("", out.toString());
    }

    /** Nothing listens on port 1: usage errors are reported before a connection is tried. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "2 | put service/claims/enabled 2 --control 127.0.0.1:1",
                "2 | put service/claims/unknown 1 --control 127.0.0.1:1",
                "2 | put claims 1 --control 127.0.0.1:1",
                "2 | delete fleet/enabled --if-version -1 --control 127.0.0.1:1",
                "2 | get claims --control 127.0.0.1:1",
                "2 | status --control here",
                "2 | put fleet/enabled 1",
                "1 | put fleet/enabled 1 --control 127.0.0.1:1 --control 127.0.0.1:1",
                "1 | status --control 127.0.0.1:1"
            })
    void aFailedChangeIsOneLine(int status, String arguments) {
        assertEquals(status, run(("changes " + arguments).split(" ")), err.toString());
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertEquals("", out.toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"--help", "--version", "serve --help", "adapter --help", "rehearse --help"})
    void helpAndVersionGoToStandardOutput(String args) {
        assertEquals(0, run(args.split(" ")));
        assertTrue(out.toString().contains("passhatch"), out.toString());
        assertEquals("", err.toString());
    }

    /** The deployed program must not depend on the classes of the lab tools. */
    @Test
    void helpNamesTheLabToolsThatItDoesNotInclude() {
        run("--help");
        assertTrue(out.toString().contains("passhatch-lab.jar"), out.toString());
        assertEquals(Commands.EXIT_USAGE, run("drill"));
    }
}
