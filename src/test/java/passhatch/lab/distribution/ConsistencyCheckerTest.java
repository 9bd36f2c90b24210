package passhatch.lab.distribution;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.distribution.LogEntry;
import passhatch.distribution.Message;
import passhatch.distribution.Message.Append;
import passhatch.distribution.Message.Delta;

/**
 * Tests that the checker detects deliberate faults, so that a run which it passes is meaningful.
 */
final class ConsistencyCheckerTest {

    private static final String KEY = "service/service-0/deadline_ms";

    @Test
    void detectsReplicasThatConfirmBeforeForcing() {
        ScriptedRun run = new ScriptedRun(3);
        run.start();
        run.makeLeader(0);
        run.replica(1).setDiskMode(Node.DiskMode.LYING);
        run.replica(2).setDiskMode(Node.DiskMode.LYING);
        assertViolation(() -> run.submitAndRun(0, KEY, "7"), "disks have");
    }

    @Test
    void detectsAFollowerThatTakesAnOlderValueForANewerOne() {
        ScriptedRun run = new ScriptedRun(3);
        run.start();
        run.makeLeader(0);
        LogEntry old = run.fleet().initialEntries().get(0);
        run.simulation()
                .setInterceptor(
                        (from, to, message) ->
                                message instanceof Delta delta && !delta.entries().isEmpty()
                                        ? withEntry(delta, old)
                                        : message);
        assertViolation(() -> run.submitAndRun(0, old.key(), "7"), "committed is");
    }

    private static Message withEntry(Delta delta, LogEntry old) {
        LogEntry forged =
                new LogEntry(delta.uptoVersion(), delta.uptoTerm(), old.key(), old.value());
        return new Delta(
                delta.epoch(),
                delta.afterVersion(),
                delta.uptoVersion(),
                delta.uptoTerm(),
                delta.stateAgeUs(),
                List.of(forged));
    }

    /**
     * Figure 8 of Ongaro and Ousterhout (2014): an entry of an older term is on a majority of
     * replicas, and a faulty leader commits it by that count. A log with a higher last term then
     * replaces it.
     */
    @Test
    void detectsALeaderThatCommitsAnEntryOfAnOlderTermByCount() {
        assertViolation(() -> runFigureEight(true), "committed");
    }

    @Test
    void aCorrectLeaderPassesTheSameRun() {
        runFigureEight(false);
    }

    private static void runFigureEight(boolean faulty) {
        ScriptedRun run = new ScriptedRun(5);
        run.start();
        long disputed = run.fleet().initialEntries().size() + 1;
        run.connectOnly(0, List.of(1));
        makeLeaderReaching(run, 0, List.of(1, 2), List.of(1));
        run.replica(0).kill();
        makeLeaderReaching(run, 4, List.of(2, 3), List.of());
        run.replica(4).kill();
        run.replica(0).start();
        run.simulation()
                .setInterceptor(
                        (from, to, message) ->
                                from == run.replica(0) && message instanceof Append append
                                        ? onlyUpTo(append, disputed, faulty)
                                        : message);
        run.connectOnly(0, List.of(1, 2));
        run.grantLease(0);
        run.runFor(3);
        run.replica(0).kill();
        run.replica(4).start();
        run.simulation().setInterceptor((from, to, message) -> message);
        run.connectOnly(4, List.of(1, 2, 3));
        run.grantLease(4);
        run.runFor(5);
        assertTrue(run.replica(4).participant().isLeading());
    }

    /**
     * Makes a replica the leader among some peers, and lets its first entry reach only the given
     * receivers.
     */
    private static void makeLeaderReaching(
            ScriptedRun run, int leader, List<Integer> peers, List<Integer> receivers) {
        run.connectOnly(leader, peers);
        run.simulation()
                .setInterceptor(
                        (from, peer, message) ->
                                message instanceof Append append
                                                && receivers.stream()
                                                        .noneMatch(i -> run.replica(i) == peer)
                                                && !append.entries().isEmpty()
                                        ? null
                                        : message);
        run.grantLease(leader);
        run.runFor(2);
    }

    private static Append onlyUpTo(Append append, long lastVersion, boolean faulty) {
        List<LogEntry> entries = new ArrayList<>(append.entries());
        entries.removeIf(entry -> entry.version() > lastVersion);
        boolean hasAll = append.previousVersion() + entries.size() >= lastVersion;
        return new Append(
                append.epoch(),
                append.term(),
                faulty && hasAll ? lastVersion : append.committedVersion(),
                append.stateAgeUs(),
                Math.min(append.previousVersion(), lastVersion),
                append.previousVersion() > lastVersion ? 2 : append.previousTerm(),
                entries);
    }

    private static void assertViolation(Runnable scenario, String expected) {
        BrokenPromise violation = assertThrows(BrokenPromise.class, scenario::run);
        assertTrue(violation.getMessage().contains(expected), violation.getMessage());
    }
}
