package passhatch.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The simulator's protocol in both directions, and its error messages for invalid input. */
class WireTest {

    private static final String PARAMS =
            "{\"balancers\":2,\"layer\":0,\"layers\":[\"one\"],\"locality\":0,"
                + "\"novelty\":{\"x\":[1,{}]},\"resolutionUs\":1000,\"discovery\":\"on_request\","
                + "\"categories\":[{\"name\":\"read\","
                + "\"goalTimeUs\":200000,\"deadlineUs\":500000,\"worth\":1,"
                + "\"lateWorth\":0,\"effect\":\"pure\",\"group\":\"all\",\"dedupWindowUs\":0}],"
                + "\"limits\":{\"maxAttempts\":3,\"cancel\":true,\"probes\":false,\"mayDuplicate\":false},"
                + "\"rules\":{\"drainGraceUs\":1,\"askEveryUs\":9000000,\"coldFrom\":0.5,\"coldUs\":5,"
                + "\"tipMultiple\":2,\"overloadForUs\":5},\"fees\":{\"probe\":0.01}}";
    private static final String START =
            "{\"msg\":\"powerOn\",\"nonce64\":18446744073709551615,\"params\":"
                    + PARAMS
                    + "},{\"msg\":\"catalog\",\"rosterId\":3,"
                    + "\"nodesList\":[{\"backend\":\"s:1\",\"bootTimeUs\":null,"
                    + "\"model\":0,\"dc\":0,\"units\":1.5,\"group\":0,\"readiness\":\"U\",\"later\":1}]},"
                    + "{\"msg\":\"backendsChanged\",\"gen\":1,\"rosterId\":3,\"mode\":\"remembered\"}";
    private static final String INBOUND =
            "{\"msg\":\"inbound\",\"opId\":\"00ab\",\"profile\":0,\"billing\":null,"
                    + "\"routeKey\":5,\"budgetUs\":400000,\"predictedUs\":null,\"marks\":0}";

    private record RunResult(int status, List<String> outputLines, String errorOutput) {}

    private static String batch(long nowUs, int who, String events) {
        return "{\"atTimeUs\":"
                + nowUs
                + ",\"groups\":[{\"who\":"
                + who
                + ",\"input\":["
                + events
                + "]}]}\n";
    }

    private static RunResult run(String input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status =
                Adapter.run(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        return new RunResult(
                status,
                out.toString(StandardCharsets.UTF_8).lines().toList(),
                err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void answersEachBatchWithOneLine() {
        RunResult result =
                run("{\"atTimeUs\":1,\"groups\":[]}\n" + batch(5, 4, START) + batch(6, 4, INBOUND));
        assertEquals(0, result.status(), result.errorOutput());
        assertEquals(3, result.outputLines().size());
        assertEquals("{\"groups\":[]}", result.outputLines().get(0));
        assertTrue(
                result.outputLines()
                        .get(1)
                        .startsWith(
                                "{\"groups\":[{\"who\":4,\"cmds\":["
                                        + "{\"msg\":\"keepInformed\",\"enable\":true}"),
                result.outputLines().get(1));
        assertEquals(
                "{\"groups\":[{\"who\":4,\"cmds\":[{\"msg\":\"relay\",\"opId\":\"00ab\","
                        + "\"backend\":\"s:1\","
                        + "\"limitUs\":400000}]}]}",
                result.outputLines().get(2));
    }

    @Test
    void failsARequestThatNoServerAnswered() {
        String reply =
                "{\"msg\":\"reply\",\"opId\":\"00ab\",\"leg\":0,\"backend\":\"s:1\","
                    + "\"ending\":\"DEADLINE_EXCEEDED\",\"elapsedUs\":400000,\"last\":false,\"stats\":null}";
        String late = "{\"msg\":\"left\",\"opId\":\"00ab\"}";
        RunResult result =
                run(
                        batch(5, 4, START)
                                + batch(6, 4, INBOUND)
                                + batch(400006, 4, reply + "," + late));
        assertEquals(0, result.status(), result.errorOutput());
        assertTrue(
                result.outputLines().get(2).contains("{\"msg\":\"abort\",\"opId\":\"00ab\"}"),
                result.outputLines().get(2));
    }

    @Test
    void rejectsEventsForAnInstanceThatWasTornDown() {
        RunResult result =
                run(
                        batch(5, 4, START)
                                + batch(6, 4, "{\"msg\":\"teardown\"}")
                                + batch(7, 4, INBOUND));
        assertEquals(1, result.status());
        assertEquals(
                "passhatch: line 3: inbound: instance 4 was not started\n", result.errorOutput());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"atTimeUs\":1,\"groups\":[|line 1, column",
                "[]|a batch must be an object",
                "{\"groups\":[]}|field atTimeUs is missing",
                "{\"atTimeUs\":1}|field groups is missing",
                "{\"atTimeUs\":\"x\",\"groups\":[]}|field atTimeUs must be a whole number",
                "{\"atTimeUs\":1,\"groups\":[{\"who\":1,\"input\":[{\"msg\":\"left\","
                        + "\"opId\":\"a\"}]}]}|was not started",
                "{\"atTimeUs\":1,\"groups\":[{\"who\":1,\"input\":[{\"opId\":\"a\"}]}]}|field msg"
                        + " is missing",
                "{\"atTimeUs\":1,\"groups\":[{\"input\":[]}]}|field who is missing",
                "{\"atTimeUs\":1,\"groups\":[{\"who\":1,\"input\":[{\"msg\":\"powerOn\","
                        + "\"nonce64\":1}]}]}|params is missing",
            })
    void reportsInvalidInputInOneLine(String input, String message) {
        RunResult result = run(input);
        assertEquals(1, result.status());
        assertTrue(result.errorOutput().contains(message), result.errorOutput());
        assertEquals(1, result.errorOutput().lines().count(), result.errorOutput());
    }

    @Test
    void namesTheMissingFieldOfMessagesAndSettings() {
        RunResult result =
                run(batch(5, 4, START) + batch(6, 4, INBOUND.replace("\"budgetUs\":400000,", "")));
        assertEquals(
                "passhatch: line 2: inbound: field budgetUs is missing\n", result.errorOutput());
        result = run(batch(5, 4, START.replace("\"maxAttempts\":3,", "")));
        assertEquals(
                "passhatch: line 1: powerOn: params.limits.maxAttempts is missing\n",
                result.errorOutput());
        result = run(batch(5, 4, START.replace("\"coldFrom\":0.5", "\"coldFrom\":7")));
        assertEquals(
                "passhatch: line 1: powerOn: rules.coldFrom: must lie above 0, up to 1\n",
                result.errorOutput());
        result = run(batch(5, 4, START) + batch(6, 4, "{\"msg\":\"greeting\"}"));
        assertEquals("passhatch: line 2: message 'greeting' is not known\n", result.errorOutput());
    }

    @Test
    void appliesThePlacementOfClasses() {
        for (String placement :
                List.of("\"runsIn\":[1]", "\"machineTypesOnly\":[2,3]", "\"runsIn\":[]")) {
            String start = START.replace("\"worth\":1", "\"worth\":1," + placement);
            RunResult result = run(batch(5, 4, start) + batch(6, 4, INBOUND));
            assertEquals(0, result.status(), result.errorOutput());
            assertFalse(result.outputLines().get(1).contains("relay"), result.outputLines().get(1));
        }
        String allowed =
                START.replace(
                        "\"worth\":1", "\"worth\":1,\"runsIn\":[0,1],\"machineTypesOnly\":[0]");
        assertTrue(
                run(batch(5, 4, allowed) + batch(6, 4, INBOUND))
                        .outputLines()
                        .get(1)
                        .contains("relay"));
        RunResult result =
                run(batch(5, 4, START.replace("\"worth\":1", "\"runsIn\":[\"x\"],\"worth\":1")));
        assertEquals(
                "passhatch: line 1: powerOn: params.categories[0].runsIn must hold whole numbers\n",
                result.errorOutput());
    }

    @Test
    void closesIdleConnectionsToADrainingServer() {
        String drains =
                "{\"msg\":\"catalog\",\"rosterId\":3,\"nodesList\":[{\"backend\":\"s:1\","
                    + "\"readiness\":\"L\"}]},"
                    + "{\"msg\":\"backendsChanged\",\"gen\":2,\"rosterId\":3,\"mode\":\"changes\"}";
        String start = START.replace("\"coldUs\":5", "\"coldUs\":5,\"letGoInUs\":1000000");
        RunResult result = run(batch(5, 4, start) + batch(6, 4, drains));
        assertTrue(
                result.outputLines()
                        .get(1)
                        .contains("{\"msg\":\"disconnect\",\"backend\":\"s:1\"}"),
                result.outputLines().get(1));
        result = run(batch(5, 4, START) + batch(6, 4, drains));
        assertFalse(
                result.outputLines().get(1).contains("disconnect"), result.outputLines().get(1));
    }
}
