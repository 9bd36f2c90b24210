package passhatch.lab.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The cases of the table in docs/distribution.md, each with the checker running. */
final class HardCasesTest {

    private static final String KEY = "fleet/deadline_ms";

    static Stream<Arguments> cases() {
        return Stream.of(
                named("leader killed in the middle of a change", HardCasesTest::leaderKilled),
                named("two replicas lead after a partition", HardCasesTest::twoLead),
                named("paused leader goes on with an old term", HardCasesTest::pausedLeader),
                named("half of the replicas lost", HardCasesTest::majorityLost),
                named("replica with an empty disk", HardCasesTest::emptyDisk),
                named("replica away for longer than the log", HardCasesTest::longAway),
                named("relay of a zone killed", HardCasesTest::relayKilled),
                named("zone cut off during a change", HardCasesTest::zoneCut),
                named("agent off for a day", HardCasesTest::agentOff),
                named("1,000 changes in a minute", HardCasesTest::manyChanges),
                named("failing disk of the leader", HardCasesTest::leaderDiskFails),
                named("failing disk of a follower", HardCasesTest::followerDiskFails));
    }

    private static Arguments named(String name, Consumer<ScriptedRun> play) {
        return Arguments.of(name, play);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void holds(String name, Consumer<ScriptedRun> play) {
        ScriptedRun run = new ScriptedRun(3);
        run.start();
        run.lead(0);
        play.accept(run);
        run.wait(10);
        run.requireConverged(Fleet.EPOCH);
    }

    private static void leaderKilled(ScriptedRun run) {
        run.submit(0, KEY, "7");
        run.replica(0).kill();
        run.lead(1);
        run.submitAndWait(1, KEY, "8");
        run.replica(0).start();
    }

    private static void twoLead(ScriptedRun run) {
        Node old = run.replica(0);
        run.cut((from, to) -> from == old ^ to == old);
        run.lead(1);
        long unheard = run.submit(0, KEY, "7");
        run.submitAndWait(1, KEY, "8");
        assertTrue(old.participant().isLeading(), "both lead");
        assertTrue(old.participant().version() < unheard, "commits nothing without a majority");
        run.heal();
    }

    private static void pausedLeader(ScriptedRun run) {
        run.replica(0).pause(5 * ScriptedRun.SECOND);
        run.lead(1);
        run.submitAndWait(1, KEY, "8");
        run.wait(3);
        assertFalse(run.replica(0).participant().isLeading(), "steps down");
    }

    private static void majorityLost(ScriptedRun run) {
        run.replica(1).kill();
        run.replica(2).kill();
        long before = run.replica(0).participant().version();
        run.submitAndWait(0, KEY, "7");
        assertEquals(before, run.replica(0).participant().version());
        assertEquals("1", run.subscriber(0).participant().values().get(KEY));
        run.replica(1).start();
        run.replica(2).start();
    }

    private static void emptyDisk(ScriptedRun run) {
        loseDisk(run, 2);
        run.wait(5);
        run.submitAndWait(0, KEY, "7");
        run.replica(1).kill();
        long before = run.replica(0).participant().version();
        run.submitAndWait(0, KEY, "8");
        assertEquals(before, run.replica(0).participant().version(), "does not count");
        run.replica(1).start();
    }

    private static void loseDisk(ScriptedRun run, int replica) {
        run.replica(replica).kill();
        run.replica(replica).setDisk(List.of());
        run.checker().diskLost(run.replica(replica));
        run.replica(replica).start();
    }

    private static void longAway(ScriptedRun run) {
        run.replica(2).kill();
        for (int i = 0; i < 2_400; i++) {
            run.submit(0, KEY, Integer.toString(1 + i));
            run.simulation().runUntil(run.simulation().nowUs() + 20_000);
        }
        run.replica(2).start();
    }

    private static void relayKilled(ScriptedRun run) {
        run.relay(0).kill();
        run.wait(3);
        run.submitAndWait(0, KEY, "7");
        assertEquals("7", run.subscriber(0).participant().values().get(KEY));
        run.relay(0).start();
    }

    private static void zoneCut(ScriptedRun run) {
        run.cut((from, to) -> from.location().zone() == 3 ^ to.location().zone() == 3);
        run.submitAndWait(0, KEY, "7");
        assertEquals("1", run.subscriber(3).participant().values().get(KEY));
        run.heal();
        run.wait(3);
        assertEquals("7", run.subscriber(3).participant().values().get(KEY));
    }

    private static void agentOff(ScriptedRun run) {
        run.subscriber(0).kill();
        for (String value : List.of("7", "8", "9")) {
            run.submitAndWait(0, KEY, value);
        }
        run.subscriber(0).start();
        assertEquals("1", run.subscriber(0).participant().values().get(KEY));
    }

    private static void manyChanges(ScriptedRun run) {
        List<String> keys = List.copyOf(run.fleet().keys());
        for (int i = 0; i < 1_000; i++) {
            run.submit(0, keys.get(i % keys.size()), Integer.toString(1 + i % 3));
            run.simulation().runUntil(run.simulation().nowUs() + 60_000);
        }
    }

    private static void leaderDiskFails(ScriptedRun run) {
        run.replica(0).setDiskMode(Node.DiskMode.FAILING);
        run.submit(0, KEY, "7");
        assertFalse(run.replica(0).participant().isLeading(), "steps down");
        run.lead(1);
        run.submitAndWait(1, KEY, "8");
        run.replica(0).kill();
        run.replica(0).setDiskMode(Node.DiskMode.WORKING);
        run.replica(0).start();
    }

    private static void followerDiskFails(ScriptedRun run) {
        run.subscriber(0).setDiskMode(Node.DiskMode.FAILING);
        run.submitAndWait(0, KEY, "7");
        assertEquals("7", run.subscriber(0).participant().values().get(KEY));
        assertTrue(run.subscriber(0).participant().diskFailed());
    }
}
