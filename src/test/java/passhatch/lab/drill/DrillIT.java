package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Complete drills with the packaged program. */
class DrillIT {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();

    @TempDir private Path folder;

    private Result run(String file, String name) throws Exception {
        return new Drill(ScenarioReader.read(name, file), JAR, folder.resolve(name), List.of())
                .run((ms, ended) -> {});
    }

    private static String resetScenario(boolean retries) {
        return """
        name = "resets"
        duration = "4s"
        proxies = {count = 1, retries = %b}
        load = {rate = 150.0, retries = 0}
        faults = [{at = "1s", do = "reset", target = "backends", share = 0.15}]
        expect = {lost = 0, spoilt = 0, duplicates = 0, too_often = 0, served = 0.9}
        """
                .formatted(retries);
    }

    /**
     * Every backend resets 15 % of its requests, so the choice of backend does not help. Without
     * retries that share of requests fails; with retries only those among the tenth of requests
     * that must not be sent twice.
     */
    @Test
    void retriesRaiseTheServedShareWithoutDuplicates() throws Exception {
        Result with = run(resetScenario(true), "with");
        Result without = run(resetScenario(false), "without");
        assertTrue(
                with.servedShare() > without.servedShare() + 0.05,
                with.servedShare() + " with and " + without.servedShare() + " without");
        assertEquals(0, with.counts().get("duplicates"));
        assertEquals(0, with.counts().get("lost") + without.counts().get("lost"));
        assertTrue(with.counts().get("attempts") > with.counts().get("offered"));
        assertEquals(without.counts().get("attempts"), without.counts().get("offered"), 5.0);
        Path report = folder.resolve("with/report.html");
        assertTrue(Files.readString(report).contains("<svg"));
        assertTrue(
                Files.readAllLines(folder.resolve("with/events.jsonl")).stream()
                        .anyMatch(l -> l.contains("\"do\":\"reset\"")));
    }

    /** An expectation that cannot be met must be reported as not met. */
    @Test
    void reportsUnmetExpectations() throws Exception {
        Result result =
                run(
                        """
                        name = "hung"
                        duration = "2s"
                        proxies = {count = 1}
                        backends = {count = 1}
                        load = {rate = 50.0, retries = 0}
                        faults = [{at = "500ms", do = "hang", target = "backend-1"}]
                        expect = {served = 0.99, recovery = "500ms"}
                        """,
                        "hung");
        assertFalse(result.meetsExpectations());
        assertEquals(2, result.broken().size(), result.broken().toString());
    }

    @Test
    void aProcessThatDoesNotGetReadyIsReportedWithTheEndOfItsLog() throws Exception {
        Path wrong = folder.resolve("wrong.jar");
        Files.write(wrong, new byte[] {1, 2, 3});
        Scenario scenario =
                ScenarioReader.read("first", Files.readString(Path.of("drills/first.toml")));
        IOException shown =
                assertThrows(
                        IOException.class,
                        () ->
                                new Drill(scenario, wrong, folder.resolve("never"), List.of())
                                        .run((ms, ended) -> {}));
        assertTrue(shown.getMessage().contains("proxy-1 ended"), shown.getMessage());
        assertTrue(shown.getMessage().contains("wrong.jar"), shown.getMessage());
    }

    @Tag("long")
    @Test
    void allShippedDrillsMeetTheirExpectations() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("drills"))) {
            for (Path file : files.sorted().toList()) {
                Result result = run(Files.readString(file), file.getFileName().toString());
                assertTrue(
                        result.meetsExpectations(),
                        () -> file + ": " + result.broken() + " " + result.invalid());
            }
        }
    }
}
