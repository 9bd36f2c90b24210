package passhatch.lab.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.cli.Commands;
import passhatch.lab.scale.ScaleCommand;
import picocli.CommandLine;

/** Tests that invalid sizes, seeds and event names give one line of error and exit status 2. */
final class ScaleInputTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "--subscribers=0",
                "--regions=26",
                "--changes=1",
                "--seed=-1",
                "--events=changes,nothing"
            })
    void invalidOptionsAreReportedInOneLine(String option) {
        StringWriter err = new StringWriter();
        CommandLine line = Commands.useOneLineErrors(ScaleCommand.commandLine());
        line.setErr(new PrintWriter(err));
        assertEquals(Commands.EXIT_USAGE, line.execute("distribution", option));
        assertTrue(err.toString().strip().lines().count() == 1, err.toString());
    }
}
