package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import passhatch.cli.Commands;

/**
 * Changes with real agents are in force within the timeout, also after the leader is killed, and
 * invalid changes are refused as a whole.
 */
class ChangesIT {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();
    private static final int SUBSCRIBERS = 6;
    private static final long TIMEOUT_MS = 60_000;
    private static final long IN_FORCE_TIMEOUT_MS = 3_000;
    private static final String KEY = "service/claims/deadline_ms";

    @TempDir private Path folder;
    private ChangesTestbed testbed;

    @BeforeEach
    void start() throws Exception {
        testbed = new ChangesTestbed(JAR, folder, SUBSCRIBERS, 1);
        long startNs = System.nanoTime();
        testbed.start(TIMEOUT_MS);
        System.out.println("changes: all are current after " + elapsedMs(startNs) + " ms");
    }

    @AfterEach
    void end() throws IOException {
        testbed.close();
        for (int i : testbed.allAgents()) {
            assertFalse(testbed.agent(i).process().isAlive(), "a process was left behind");
        }
    }

    /** Runs the command {@code changes} against the replicas in turn and returns its output. */
    private String runChangesCommand(int expectedExitCode, String... arguments) {
        StringWriter out = new StringWriter();
        List<String> all = new ArrayList<>(List.of("changes"));
        all.addAll(List.of(arguments));
        for (int i = 0; i < ChangesTestbed.REPLICA_COUNT; i++) {
            all.add("--control=" + LocalNetwork.format(testbed.agent(i).controlAddress()));
        }
        int exitCode =
                Commands.commandLine()
                        .setOut(new PrintWriter(out))
                        .setErr(new PrintWriter(out))
                        .execute(all.toArray(String[]::new));
        assertEquals(expectedExitCode, exitCode, out.toString());
        assertEquals(1, out.toString().lines().count(), out.toString());
        return out.toString().strip();
    }

    private static long elapsedMs(long startNs) {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    private void put(String value) throws InterruptedException {
        long startNs = System.nanoTime();
        assertTrue(runChangesCommand(0, "put", KEY, value).startsWith("done "));
        long committedNs = System.nanoTime();
        awaitInForce(value);
        System.out.printf(
                "changes: committed after %d ms, in force %d ms later%n",
                (committedNs - startNs) / 1_000_000, elapsedMs(committedNs));
    }

    private void awaitInForce(String value) throws InterruptedException {
        for (int i : testbed.subscribers()) {
            if (ChangesTestbed.serviceOf(i).equals("claims")) {
                ChangesTestbed.await(
                        () -> testbed.hasValue(i, KEY, value),
                        IN_FORCE_TIMEOUT_MS,
                        value + " is not in force at m" + i);
            }
        }
    }

    private void checkThatInvalidChangesAreRefused(String currentValue) {
        int leader = testbed.leaderIndex();
        Map<String, String> before = testbed.valuesInForce(leader);
        long version = testbed.versionInForce(leader);
        runChangesCommand(Commands.EXIT_USAGE, "put", KEY, "0");
        runChangesCommand(Commands.EXIT_USAGE, "put", "service/claims/unknown", "1");
        runChangesCommand(Commands.EXIT_FAILURE, "put", KEY, "700", "--if-version", "0");
        for (String call : List.of(KEY + " 0", KEY + " 700 0", "service/claims/unknown 1")) {
            String answer = testbed.agent(leader).ask("change-put " + call);
            assertTrue(answer.startsWith("error refused: "), answer);
        }
        assertEquals(version, testbed.versionInForce(leader));
        assertEquals(before, testbed.valuesInForce(leader));
        assertTrue(before.get(KEY).startsWith(currentValue + "@"), before.toString());
    }

    private void restartWithoutSources(int subscriber, String value) throws Exception {
        testbed.changesRelay().setConnectivity((a, b) -> a != subscriber && b != subscriber);
        AgentProcess agent = testbed.agent(subscriber);
        agent.process().signal("KILL");
        assertTrue(agent.process().awaitExit(TIMEOUT_MS));
        Files.delete(testbed.valuesFile(subscriber));
        agent.process().start();
        ChangesTestbed.await(
                () -> testbed.hasValue(subscriber, KEY, value), TIMEOUT_MS, "the value is lost");
        ChangesTestbed.await(
                () -> Files.exists(testbed.valuesFile(subscriber)), TIMEOUT_MS, "no values file");
        String published = Files.readString(testbed.valuesFile(subscriber));
        assertTrue(published.contains("\"" + KEY + "\":\"" + value + "\""), published);
        testbed.changesRelay().setConnectivity((a, b) -> true);
    }

    @Test
    void aChangeIsInForceWithinTheTimeoutThoughTheLeaderOrASubscriberIsKilled() throws Exception {
        put("500");
        int other = testbed.subscribers().get(0);
        other += ChangesTestbed.serviceOf(other).equals("claims") ? 1 : 0;
        assertEquals(
                Map.of(),
                testbed.valuesInForce(other),
                "values of a service that it does not subscribe to");
        checkThatInvalidChangesAreRefused("500");

        int leader = testbed.leaderIndex();
        testbed.agent(leader).process().signal("KILL");
        ChangesTestbed.await(
                () -> testbed.leaderIndex() >= 0, TIMEOUT_MS, "no other replica leads");
        put("600");

        int interested = other == testbed.subscribers().get(0) ? other + 1 : other - 1;
        restartWithoutSources(interested, "600");
        put("700");
        String metrics = testbed.agent(interested).ask("vars");
        assertTrue(
                metrics.contains("changes_version " + testbed.versionInForce(interested) + "\n"),
                metrics);
    }
}
