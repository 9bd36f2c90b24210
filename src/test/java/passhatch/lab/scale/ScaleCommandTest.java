package passhatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.cli.Commands;
import picocli.CommandLine;

/** Tests which options the commands reject, and how steps become figures. */
class ScaleCommandTest {

    @TempDir private Path folder;

    private static void assertUsageError(String... args) {
        StringWriter err = new StringWriter();
        CommandLine line = Commands.useOneLineErrors(ScaleCommand.commandLine());
        line.setErr(new PrintWriter(err, true));
        assertEquals(Commands.EXIT_USAGE, line.execute(args), String.join(" ", args));
        assertEquals(1, err.toString().lines().count(), err.toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "proxy --sizes 0",
                "proxy --sizes ten",
                "proxy --changes -1",
                "proxy --memory-mb 1",
                "proxy --seconds 0",
                "proxy --seed x",
                "proxy --jar no-such.jar",
                "agent --sizes 3",
                "agent --seconds 999",
                "latency --rates 0",
                "latency --paths 0",
                "latency --sizes 99999",
                "latency --behind-us 0",
                "latency --tries 0"
            })
    void invalidValuesGiveAOneLineUsageError(String args) {
        assertUsageError(args.split(" "));
    }

    @Test
    void aFileAsOutputFolderIsAUsageError() throws Exception {
        Path file = Files.createFile(folder.resolve("file"));
        assertUsageError("proxy", "--jar", file.toString(), "--out", file.toString());
    }

    @Test
    void readsTheUsageOfItsOwnProcess() throws Exception {
        ProcessUsage usage = ProcessUsage.read(ProcessHandle.current().pid());
        assertTrue(usage.residentKb() > 0);
        assertTrue(usage.threads() > 0);
    }

    @Test
    void parsesProcessorTimesAfterACommandNameWithSpaces() {
        String stat = "7 (a ) b) S 1 1 1 0 -1 0 1 2 3 4 250 150 9 9 20 0 1";
        assertEquals(4.0, ProcessUsage.processorSeconds(stat));
    }

    private static LatencyResult.Step step(int proxies, Long p99, boolean saturated) {
        var latencyUs = p99 == null ? null : new LatencyResult.Quantiles(p99 / 2, p99, 2 * p99);
        return new LatencyResult.Step(
                proxies, 10, 100, 800, 1, 60, latencyUs, null, null, saturated);
    }

    @Test
    void addedLatencyIsThatOfThePathMinusThatOfDirectRequests() {
        var added =
                LatencyCommand.computeAddedLatency(
                                List.of(step(0, 200L, false), step(7, 900L, false)))
                        .get(0);
        assertEquals(700, added.p99Us());
        assertEquals(4.5, added.ratioP99());
    }

    @Test
    void voidAndSaturatedStepsGiveNoAddedLatency() {
        var steps = List.of(step(0, 200L, false), step(1, null, false), step(7, 900L, true));
        assertEquals(List.of(), LatencyCommand.computeAddedLatency(steps));
        assertEquals(
                List.of(),
                LatencyCommand.computeAddedLatency(
                        List.of(step(0, null, false), step(1, 9L, false))));
    }
}
