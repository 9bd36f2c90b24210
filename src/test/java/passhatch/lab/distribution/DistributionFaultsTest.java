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

/** Tests each case of the table in docs/distribution.md, with the consistency checker running. */
final class DistributionFaultsTest {

    private static final String KEY = "fleet/deadline_ms";

    static Stream<Arguments> cases() {
        return Stream.of(
                testCase(
                        "leader killed in the middle of a change",
                        DistributionFaultsTest::leaderKilled),
                testCase("two replicas lead after a partition", DistributionFaultsTest::twoLeaders),
                testCase(
                        "paused leader continues with an old term",
                        DistributionFaultsTest::pausedLeader),
                testCase("majority of the replicas lost", DistributionFaultsTest::majorityLost),
                testCase("replica with an empty disk", DistributionFaultsTest::emptyDisk),
                testCase(
                        "replica down for longer than the log reaches back",
                        DistributionFaultsTest::replicaDownForLong),
                testCase("relay of a zone killed", DistributionFaultsTest::relayKilled),
                testCase(
                        "zone partitioned during a change",
                        DistributionFaultsTest::zonePartitioned),
                testCase("agent down during several changes", DistributionFaultsTest::agentDown),
                testCase("1,000 changes in a minute", DistributionFaultsTest::manyChanges),
                testCase("failing disk of the leader", DistributionFaultsTest::leaderDiskFails),
                testCase("failing disk of a follower", DistributionFaultsTest::followerDiskFails));
    }

    private static Arguments testCase(String name, Consumer<ScriptedRun> scenario) {
        return Arguments.of(name, scenario);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void invariantsHoldAndStateConverges(String name, Consumer<ScriptedRun> scenario) {
        ScriptedRun run = new ScriptedRun(3);
        run.start();
        run.makeLeader(0);
        scenario.accept(run);
        run.runFor(10);
        run.requireConverged(Fleet.INITIAL_EPOCH);
    }

    private static void leaderKilled(ScriptedRun run) {
        run.submit(0, KEY, "7");
        run.replica(0).kill();
        run.makeLeader(1);
        run.submitAndRun(1, KEY, "8");
        run.replica(0).start();
    }

    private static void twoLeaders(ScriptedRun run) {
        Node oldLeader = run.replica(0);
        run.block((from, to) -> from == oldLeader ^ to == oldLeader);
        run.makeLeader(1);
        long uncommitted = run.submit(0, KEY, "7");
        run.submitAndRun(1, KEY, "8");
        assertTrue(oldLeader.participant().isLeading(), "both lead");
        assertTrue(
                oldLeader.participant().version() < uncommitted,
                "commits nothing without a majority");
        run.unblock();
    }

    private static void pausedLeader(ScriptedRun run) {
        run.replica(0).pause(5 * ScriptedRun.SECOND_US);
        run.makeLeader(1);
        run.submitAndRun(1, KEY, "8");
        run.runFor(3);
        assertFalse(run.replica(0).participant().isLeading(), "steps down");
    }

    private static void majorityLost(ScriptedRun run) {
        run.replica(1).kill();
        run.replica(2).kill();
        long before = run.replica(0).participant().version();
        run.submitAndRun(0, KEY, "7");
        assertEquals(before, run.replica(0).participant().version());
        assertEquals("1", run.subscriber(0).participant().values().get(KEY));
        run.replica(1).start();
        run.replica(2).start();
    }

    private static void emptyDisk(ScriptedRun run) {
        loseDisk(run, 2);
        run.runFor(5);
        run.submitAndRun(0, KEY, "7");
        run.replica(1).kill();
        long before = run.replica(0).participant().version();
        run.submitAndRun(0, KEY, "8");
        assertEquals(before, run.replica(0).participant().version(), "does not count");
        run.replica(1).start();
    }

    private static void loseDisk(ScriptedRun run, int replica) {
        run.replica(replica).kill();
        run.replica(replica).setDisk(List.of());
        run.checker().recordLostDisk(run.replica(replica));
        run.replica(replica).start();
    }

    private static void replicaDownForLong(ScriptedRun run) {
        run.replica(2).kill();
        for (int i = 0; i < 2_400; i++) {
            run.submit(0, KEY, Integer.toString(1 + i));
            run.simulation().runUntil(run.simulation().nowUs() + 20_000);
        }
        run.replica(2).start();
    }

    private static void relayKilled(ScriptedRun run) {
        run.relay(0).kill();
        run.runFor(3);
        run.submitAndRun(0, KEY, "7");
        assertEquals("7", run.subscriber(0).participant().values().get(KEY));
        run.relay(0).start();
    }

    private static void zonePartitioned(ScriptedRun run) {
        run.block((from, to) -> from.location().zone() == 3 ^ to.location().zone() == 3);
        run.submitAndRun(0, KEY, "7");
        assertEquals("1", run.subscriber(3).participant().values().get(KEY));
        run.unblock();
        run.runFor(3);
        assertEquals("7", run.subscriber(3).participant().values().get(KEY));
    }

    private static void agentDown(ScriptedRun run) {
        run.subscriber(0).kill();
        for (String value : List.of("7", "8", "9")) {
            run.submitAndRun(0, KEY, value);
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
        run.makeLeader(1);
        run.submitAndRun(1, KEY, "8");
        run.replica(0).kill();
        run.replica(0).setDiskMode(Node.DiskMode.WORKING);
        run.replica(0).start();
    }

    private static void followerDiskFails(ScriptedRun run) {
        run.subscriber(0).setDiskMode(Node.DiskMode.FAILING);
        run.submitAndRun(0, KEY, "7");
        assertEquals("7", run.subscriber(0).participant().values().get(KEY));
        assertTrue(run.subscriber(0).participant().diskFailed());
    }
}
