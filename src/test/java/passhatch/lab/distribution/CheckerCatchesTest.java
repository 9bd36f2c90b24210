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

/** The checker finds deliberate faults: what it passes means something. */
final class CheckerCatchesTest {

    private static final String KEY = "service/service-0/deadline_ms";

    @Test
    void catchesReplicasThatConfirmBeforeForcing() {
        ScriptedRun run = new ScriptedRun(3);
        run.start();
        run.lead(0);
        run.replica(1).setDiskMode(Node.DiskMode.LYING);
        run.replica(2).setDiskMode(Node.DiskMode.LYING);
        requireCaught(() -> run.submitAndWait(0, KEY, "7"), "disks have");
    }

    @Test
    void catchesFollowerThatTakesAnOlderValueForANewerOne() {
        ScriptedRun run = new ScriptedRun(3);
        run.start();
        run.lead(0);
        LogEntry old = run.fleet().entries().get(0);
        run.simulation()
                .setTamper(
                        (from, to, message) ->
                                message instanceof Delta delta && !delta.entries().isEmpty()
                                        ? withEntry(delta, old)
                                        : message);
        requireCaught(() -> run.submitAndWait(0, old.key(), "7"), "committed is");
    }

    private static Message withEntry(Delta delta, LogEntry old) {
        LogEntry forged = new LogEntry(delta.upto(), delta.uptoTerm(), old.key(), old.value());
        return new Delta(
                delta.epoch(),
                delta.after(),
                delta.upto(),
                delta.uptoTerm(),
                delta.ageUs(),
                List.of(forged));
    }

    /**
     * Figure 8 of Ongaro and Ousterhout (2014): an entry of an older term is on a majority, and a
     * faulty leader commits it by that count. A log with a higher last term then replaces it.
     */
    @Test
    void catchesLeaderThatCommitsAnEntryOfAnOlderTermByCount() {
        requireCaught(() -> playFigureEight(true), "committed");
    }

    @Test
    void correctLeaderPassesTheSameRun() {
        playFigureEight(false);
    }

    private static void playFigureEight(boolean faulty) {
        ScriptedRun run = new ScriptedRun(5);
        run.start();
        long disputed = run.fleet().entries().size() + 1;
        run.reachable(0, List.of(1));
        leadWith(run, 0, List.of(1, 2), List.of(1));
        run.replica(0).kill();
        leadWith(run, 4, List.of(2, 3), List.of());
        run.replica(4).kill();
        run.replica(0).start();
        run.simulation()
                .setTamper(
                        (from, to, message) ->
                                from == run.replica(0) && message instanceof Append append
                                        ? onlyUpTo(append, disputed, faulty)
                                        : message);
        run.reachable(0, List.of(1, 2));
        run.grant(0);
        run.wait(3);
        run.replica(0).kill();
        run.replica(4).start();
        run.simulation().setTamper((from, to, message) -> message);
        run.reachable(4, List.of(1, 2, 3));
        run.grant(4);
        run.wait(5);
        assertTrue(run.replica(4).participant().isLeading());
    }

    /** Has a replica lead among some, and lets its first entry reach only a part of them. */
    private static void leadWith(ScriptedRun run, int leader, List<Integer> all, List<Integer> to) {
        run.reachable(leader, all);
        run.simulation()
                .setTamper(
                        (from, peer, message) ->
                                message instanceof Append append
                                                && to.stream()
                                                        .noneMatch(i -> run.replica(i) == peer)
                                                && !append.entries().isEmpty()
                                        ? null
                                        : message);
        run.grant(leader);
        run.wait(2);
    }

    private static Append onlyUpTo(Append append, long most, boolean faulty) {
        List<LogEntry> entries = new ArrayList<>(append.entries());
        entries.removeIf(entry -> entry.version() > most);
        boolean hasAll = append.previousVersion() + entries.size() >= most;
        return new Append(
                append.epoch(),
                append.term(),
                faulty && hasAll ? most : append.committed(),
                append.ageUs(),
                Math.min(append.previousVersion(), most),
                append.previousVersion() > most ? 2 : append.previousTerm(),
                entries);
    }

    private static void requireCaught(Runnable run, String expected) {
        BrokenPromise caught = assertThrows(BrokenPromise.class, run::run);
        assertTrue(caught.getMessage().contains(expected), caught.getMessage());
    }
}
