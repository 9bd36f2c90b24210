package passhatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import passhatch.lab.Seeds;
import passhatch.lab.disk.FaultyDisk;
import passhatch.lab.disk.FaultyDisk.Fault;

/**
 * Stops a workload of a few hundred operations at every call of the disk. After recovery everything
 * that was acknowledged must be there, and nothing that was not written.
 */
class CrashTest {

    private static final String OWNER = "owner";
    private static final int DISK_STATES_PER_FAULT = 12;
    private static final long CAPACITY = 1L << 28;

    /** The expected state of the store: numbers in the order in which they were written. */
    private static final class Model {
        final List<Integer> written = new ArrayList<>();
        int acknowledged;
        long epoch;
        int next;
    }

    private static Entry entry(int n) {
        byte[] bytes = new byte[4 + n % 40];
        ByteBuffer.wrap(bytes).putInt(n);
        return new Entry(1 + n % 5, bytes);
    }

    /**
     * Runs the workload. A snapshot holds one record for each number so far, so that it shows which
     * records it replaces.
     */
    private static void runWorkload(FaultyDisk disk, Model model, int operations)
            throws StoreException {
        UniformRandomProvider random = new Seeds(11).stream("work");
        RecordLog log = RecordLog.open(disk, OWNER, e -> {});
        model.epoch = log.epoch();
        for (int i = 0; i < operations; i++) {
            int what = random.nextInt(20);
            if (what == 0) {
                log.writeSnapshot(model.written.stream().map(CrashTest::entry).toList());
            } else if (what == 1) {
                log.close();
                log = RecordLog.open(disk, OWNER, e -> {});
                model.epoch = log.epoch();
            } else {
                List<Entry> group = new ArrayList<>();
                for (int n = random.nextInt(4); n >= 0; n--) {
                    model.written.add(model.next);
                    group.add(entry(model.next++));
                }
                log.append(group);
                model.acknowledged = model.written.size();
            }
        }
    }

    private static void checkRecovered(FaultyDisk left, Model model, String when)
            throws StoreException {
        List<Entry> found = new ArrayList<>();
        RecordLog log = RecordLog.open(left, OWNER, found::add);
        assertTrue(
                found.size() >= model.acknowledged,
                when + ": " + found.size() + " of " + model.acknowledged);
        assertTrue(found.size() <= model.written.size(), when);
        for (int i = 0; i < found.size(); i++) {
            assertEquals(entry(model.written.get(i)), found.get(i), when);
        }
        assertTrue(log.epoch() > model.epoch, when + ": epoch " + log.epoch());
        log.append(List.of(entry(1_000_000)));
        List<Entry> again = new ArrayList<>();
        RecordLog.open(left.copy(), OWNER, again::add);
        assertEquals(found.size() + 1, again.size(), when);
    }

    /**
     * Runs the workload with a fault at each call in turn and returns how many checks found a loss.
     */
    private static int countLossesWithFaultAtEveryCall(
            Fault fault, boolean forgetful, int operations) throws StoreException {
        FaultyDisk whole = new FaultyDisk(CAPACITY);
        runWorkload(whole, new Model(), operations);
        assertTrue(whole.changingCallCount() > 3L * operations, "the workload is too small");
        int broken = 0;
        for (long k = 0; k < whole.changingCallCount(); k++) {
            FaultyDisk disk = new FaultyDisk(CAPACITY);
            disk.ignoreForce(forgetful);
            disk.injectFaultAt(k, fault);
            Model model = new Model();
            try {
                runWorkload(disk, model, operations);
            } catch (FaultyDisk.Stopped | StoreException.Failed stopped) {
                // From here on only the contents of the disk count.
            }
            UniformRandomProvider random = new Seeds(k).stream("survivors");
            for (int s = 0; s < DISK_STATES_PER_FAULT; s++) {
                try {
                    checkRecovered(
                            disk.afterPowerLoss(random),
                            model,
                            fault + " at call " + k + ", survivor " + s);
                } catch (AssertionError | StoreException lost) {
                    if (!forgetful) {
                        throw lost;
                    }
                    broken++;
                }
            }
        }
        return broken;
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void acknowledgedRecordsSurviveAnyStopOrError(Fault fault) throws StoreException {
        countLossesWithFaultAtEveryCall(fault, false, 300);
    }

    /**
     * A disk that only pretends to force must cause losses, or the test above would prove nothing.
     */
    @Test
    void omittedForceIsDetected() throws StoreException {
        assertTrue(countLossesWithFaultAtEveryCall(Fault.STOP_AFTER, true, 30) > 0);
    }

    /** A full disk makes a write fail, and everything acknowledged before can still be read. */
    @Test
    void fullDiskFailsWithoutLoss() throws StoreException {
        FaultyDisk disk = new FaultyDisk(20_000);
        Model model = new Model();
        assertThrows(StoreException.Failed.class, () -> runWorkload(disk, model, 2_000));
        assertTrue(model.acknowledged > 100);
        List<Entry> found = new ArrayList<>();
        Inspection.inspect(disk.afterPowerLoss(new Seeds(1).stream("full")), found::add);
        assertTrue(found.size() >= model.acknowledged);
    }

    /**
     * One flipped bit anywhere is reported as damage or lies in data that was never used; it never
     * changes or hides an acknowledged record.
     */
    @Test
    void flippedBitIsNeverAccepted() throws Exception {
        FaultyDisk disk = new FaultyDisk(CAPACITY);
        Model model = new Model();
        runWorkload(disk, model, 60);
        int reported = 0;
        for (String name : disk.list()) {
            int size = disk.read(name, Integer.MAX_VALUE).length;
            for (int at = 0; at < size; at++) {
                for (int bit = at % 3; bit < 8; bit += 3) {
                    FaultyDisk flipped = disk.copy();
                    flipped.flipBit(name, at, bit);
                    List<Entry> found = new ArrayList<>();
                    try {
                        RecordLog.open(flipped, OWNER, found::add);
                        assertEquals(
                                model.written.stream().map(CrashTest::entry).toList(),
                                found,
                                name + ", byte " + at + ", bit " + bit);
                    } catch (StoreException.Damaged damaged) {
                        reported++;
                    }
                }
            }
        }
        assertTrue(reported > 1_000, reported + " were reported");
    }
}
