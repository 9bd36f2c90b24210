package passhatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import passhatch.cli.Commands;

/** Small measurements with the packaged program. Asserts no times, as the machine may be busy. */
class ScaleIT {

    private static final String JAR = Path.of("target/passhatch.jar").toAbsolutePath().toString();

    @TempDir private Path folder;

    private int run(String... args) {
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(
                List.of(
                        "--jar",
                        JAR,
                        "--out",
                        folder.toString(),
                        "--quiet",
                        "--seconds",
                        "1",
                        "--seed",
                        "3"));
        return Commands.useOneLineErrors(ScaleCommand.commandLine())
                .execute(all.toArray(String[]::new));
    }

    private JsonNode result() throws Exception {
        return new ObjectMapper().readTree(folder.resolve("result.json").toFile());
    }

    @Test
    void measuresProxiesBySizeAndChanges() throws Exception {
        assertEquals(0, run("proxy", "--sizes", "5,300", "--changes", "0,20"));
        JsonNode points = result().get("points");
        assertEquals(4, points.size());
        for (JsonNode point : points) {
            assertTrue(point.at("/usage/residentKb").asLong() > 0, point.toString());
            assertTrue(point.at("/usage/threads").asInt() > 0, point.toString());
        }
        assertTrue(
                points.get(1).get("discoveryBytesPerSecond").asDouble()
                        > points.get(0).get("discoveryBytesPerSecond").asDouble());
        JsonNode line = result().at("/fits/0/line");
        assertEquals(5, line.get("from").asInt());
        assertEquals(300, line.get("to").asInt());
        assertTrue(Files.size(folder.resolve("plot.png")) > 0);
    }

    @Test
    void measuresPathsOfSeveralLengths() throws Exception {
        assertEquals(
                0, latency("10000000"), "no request exceeds this bound, so all steps are measured");
        JsonNode steps = result().get("steps");
        assertEquals(3, steps.size());
        for (JsonNode step : steps) {
            assertTrue(step.get("calls").asLong() > 0, step.toString());
            assertTrue(step.get("latencyUs").has("p99"), step.toString());
        }
        assertFalse(steps.get(2).get("processorUsPerCall").isNull());
    }

    @Test
    void reportsNoLatencyWhenTheLoadToolFallsBehind() throws Exception {
        assertEquals(1, latency("1"));
        assertTrue(result().get("tooBusy").asBoolean());
        assertEquals(0, result().get("added").size());
        for (JsonNode step : result().get("steps")) {
            assertTrue(step.get("latencyUs").isNull(), step.toString());
        }
    }

    @Test
    void measuresAnAgentAmongInProcessMembers() throws Exception {
        assertEquals(0, run("agent", "--sizes", "5,9"));
        JsonNode points = result().get("points");
        assertEquals(4, points.size());
        for (JsonNode point : points) {
            assertEquals(point.get("duties").asBoolean() ? 3 : 1, point.get("processes").asInt());
            assertTrue(point.at("/usage/residentKb").asLong() > 0, point.toString());
        }
    }

    private int latency(String behindUs) {
        return run(
                "latency",
                "--paths",
                "1,2",
                "--rates",
                "200",
                "--sizes",
                "4",
                "--tries",
                "1",
                "--behind-us",
                behindUs);
    }
}
