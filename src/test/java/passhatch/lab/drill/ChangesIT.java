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

/** Changes with real agents: in force soon, also after the leader is killed, and never by half. */
class ChangesIT {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();
    private static final int SUBSCRIBERS = 6;
    private static final long PATIENCE_MS = 60_000;
    private static final long IN_FORCE_WITHIN_MS = 3_000;
    private static final String KEY = "service/claims/deadline_ms";

    @TempDir private Path folder;
    private ChangesField field;

    @BeforeEach
    void start() throws Exception {
        field = new ChangesField(JAR, folder, SUBSCRIBERS, 1);
        long beganNs = System.nanoTime();
        field.start(PATIENCE_MS);
        System.out.println("changes: all are current after " + elapsedMs(beganNs) + " ms");
    }

    @AfterEach
    void end() throws IOException {
        field.close();
        for (int i : field.all()) {
            assertFalse(field.agent(i).child().alive(), "a process was left behind");
        }
    }

    /** What the command line says, asking the replicas in turn. */
    private String changes(int status, String... arguments) {
        StringWriter out = new StringWriter();
        List<String> all = new ArrayList<>(List.of("changes"));
        all.addAll(List.of(arguments));
        for (int i = 0; i < ChangesField.REPLICAS; i++) {
            all.add("--control=" + Local.text(field.agent(i).control()));
        }
        int ended =
                Commands.commandLine()
                        .setOut(new PrintWriter(out))
                        .setErr(new PrintWriter(out))
                        .execute(all.toArray(String[]::new));
        assertEquals(status, ended, out.toString());
        assertEquals(1, out.toString().lines().count(), out.toString());
        return out.toString().strip();
    }

    private static long elapsedMs(long beganNs) {
        return (System.nanoTime() - beganNs) / 1_000_000;
    }

    private void put(String value) throws InterruptedException {
        long beganNs = System.nanoTime();
        assertTrue(changes(0, "put", KEY, value).startsWith("done "));
        long committedNs = System.nanoTime();
        awaitInForce(value);
        System.out.printf(
                "changes: committed after %d ms, in force %d ms later%n",
                (committedNs - beganNs) / 1_000_000, elapsedMs(committedNs));
    }

    private void awaitInForce(String value) throws InterruptedException {
        for (int i : field.subscribers()) {
            if (ChangesField.service(i).equals("claims")) {
                ChangesField.await(
                        () -> field.has(i, KEY, value),
                        IN_FORCE_WITHIN_MS,
                        value + " is not in force at m" + i);
            }
        }
    }

    private void refuseBadChanges(String valueNow) {
        int leader = field.leader();
        Map<String, String> before = field.values(leader);
        long version = field.version(leader);
        changes(Commands.EXIT_USAGE, "put", KEY, "0");
        changes(Commands.EXIT_USAGE, "put", "service/claims/unknown", "1");
        changes(Commands.EXIT_FAILURE, "put", KEY, "700", "--if-version", "0");
        for (String call : List.of(KEY + " 0", KEY + " 700 0", "service/claims/unknown 1")) {
            String answer = field.agent(leader).ask("change-put " + call);
            assertTrue(answer.startsWith("error refused: "), answer);
        }
        assertEquals(version, field.version(leader));
        assertEquals(before, field.values(leader));
        assertTrue(before.get(KEY).startsWith(valueNow + "@"), before.toString());
    }

    private void restartWithoutSources(int subscriber, String value) throws Exception {
        field.changesRelay().setConnectivity((a, b) -> a != subscriber && b != subscriber);
        AgentChild agent = field.agent(subscriber);
        agent.child().signal("KILL");
        assertTrue(agent.child().awaitEnd(PATIENCE_MS));
        Files.delete(field.published(subscriber));
        agent.child().start();
        ChangesField.await(
                () -> field.has(subscriber, KEY, value), PATIENCE_MS, "the value is lost");
        ChangesField.await(
                () -> Files.exists(field.published(subscriber)), PATIENCE_MS, "no values file");
        String published = Files.readString(field.published(subscriber));
        assertTrue(published.contains("\"" + KEY + "\":\"" + value + "\""), published);
        field.changesRelay().setConnectivity((a, b) -> true);
    }

    @Test
    void aChangeIsSoonInForceWhoeverIsKilled() throws Exception {
        put("500");
        int other = field.subscribers().get(0);
        other += ChangesField.service(other).equals("claims") ? 1 : 0;
        assertEquals(Map.of(), field.values(other), "a key that it does not want");
        refuseBadChanges("500");

        int leader = field.leader();
        field.agent(leader).child().signal("KILL");
        ChangesField.await(() -> field.leader() >= 0, PATIENCE_MS, "no other leads");
        put("600");

        int wanting = other == field.subscribers().get(0) ? other + 1 : other - 1;
        restartWithoutSources(wanting, "600");
        put("700");
        String figures = field.agent(wanting).ask("vars");
        assertTrue(figures.contains("changes_version " + field.version(wanting) + "\n"), figures);
    }
}
