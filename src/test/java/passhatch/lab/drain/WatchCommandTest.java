package passhatch.lab.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.cli.Commands;
import picocli.CommandLine;

/** The error output of the command for an invalid range of seeds. */
final class WatchCommandTest {

    private static final int USAGE = 2;

    @ParameterizedTest
    @ValueSource(strings = {"9..3", "-1..4", "x", "1..", "..", "1...2", "99999999999999999999"})
    void anInvalidSeedRangeIsReportedOnOneLine(String range) {
        StringWriter text = new StringWriter();
        CommandLine line = Commands.useOneLineErrors(new CommandLine(new WatchCommand()));
        line.setErr(new PrintWriter(text, true));
        assertEquals(USAGE, line.execute("--seeds=" + range));
        assertEquals(1, text.toString().lines().count(), text.toString());
    }
}
