package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.agent.config.InvalidInputException;

class ScenarioReaderTest {

    private static final String VALID = "name = 'a'\n[expect]\nserved = 0.9\n";

    /**
     * Invalid lines of a scenario, each with the start of its error. An error names the file, the
     * key or line at fault, and the expected value.
     */
    private static final String INVALID_LINES =
            """
            duration = '20' | duration: '20': expected a time
            seed = 'x' | seed:
            colour = 1 | colour: unknown key; expected one of
            duration = = 1 | f:2: not TOML:
            proxies.count = 0 | proxies.count: expected 1 to 64
            proxies.cuont = 2 | proxies.cuont: unknown key
            backends.service.mean = '0s' | backends.service.mean: expected a time over 0
            backends.service.distribution = 'normal' | backends.service.distribution: 'normal': expected one
            load.rate = 0.0 | load.rate: expected over 0
            faults = [{at = '1s', do = 'explode'}] | faults[1].do: 'explode': expected one of kill,
            faults = [{at = '1s', do = 'kill'}] | faults[1].target: expected proxy-1 to proxy-2
            faults = [{at = '1s', do = 'kill', target = 'proxy-3'}] | faults[1].target: expected proxy-1
            faults = [{at = '1h', do = 'break'}] | faults[1].at: expected a time before the end
            faults = [{at = '1s', do = 'break', for = '1s'}] | faults[1].for: expected a time over 0, and
            faults = [{at = '1s', do = 'lose', share = 1.5}] | faults[1].share: expected over 0 and up to 1
            faults = [{at = '1s', do = 'partition'}] | faults[1].groups: expected lists of proxies
            """;

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = INVALID_LINES)
    void reportsTheInvalidKeyAndWhatWasExpected(String line, String expected) {
        InvalidInputException invalid =
                assertThrows(
                        InvalidInputException.class,
                        () ->
                                ScenarioReader.read(
                                        "f", VALID.replace("[expect]", line + "\n[expect]")));
        assertTrue(invalid.getMessage().startsWith("f"), invalid.getMessage());
        assertTrue(invalid.getMessage().contains(expected), invalid.getMessage());
        assertEquals(1, invalid.getMessage().lines().count(), invalid.getMessage());
    }

    @Test
    void requiresANameAndAnExpectation() {
        assertTrue(
                assertThrows(InvalidInputException.class, () -> ScenarioReader.read("f", ""))
                        .getMessage()
                        .contains("name"));
        assertTrue(
                assertThrows(
                                InvalidInputException.class,
                                () -> ScenarioReader.read("f", "name = 'a'"))
                        .getMessage()
                        .contains("expect: expected at least one thing"));
    }

    @Test
    void shippedScenariosAreValid() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("drills"))) {
            List<Path> all = files.filter(f -> f.toString().endsWith(".toml")).toList();
            assertTrue(all.size() >= 6, all.toString());
            all.forEach(ScenarioReader::read);
        }
    }

    /** The same file gives the same steps; each fault is undone for each of its targets. */
    @Test
    void stepsAreOrderedByTimeAndUndone() {
        String text =
                VALID.replace(
                        "[expect]",
                        "faults = [{at = '5s', do = 'stop', target = 'proxies', for = '2s'},{at ="
                                + " '6s', do = 'kill', target = ['proxy-2'], for = '1s'}]\n"
                                + "[expect]");
        List<FaultPlan.Step> steps = FaultPlan.stepsOf(ScenarioReader.read("f", text));
        assertEquals(steps, FaultPlan.stepsOf(ScenarioReader.read("f", text)));
        assertEquals(
                List.of(
                        "stop proxy-1",
                        "stop proxy-2",
                        "kill proxy-2",
                        "cont proxy-1",
                        "cont proxy-2",
                        "start proxy-2"),
                steps.stream().map(s -> s.type().label() + " " + s.targetName()).toList());
        assertEquals(Duration.ofSeconds(7), steps.get(3).at());
    }
}
