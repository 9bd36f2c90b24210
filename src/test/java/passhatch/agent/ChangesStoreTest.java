package passhatch.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import passhatch.distribution.DiskRecord;
import passhatch.distribution.DistributionActions;
import passhatch.distribution.DistributionSettings;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.LogEntry;
import passhatch.distribution.Message;
import passhatch.distribution.Participant;
import passhatch.lab.Seeds;
import passhatch.lab.disk.FaultyDisk;
import passhatch.lab.disk.FaultyDisk.Fault;
import passhatch.store.StoreException;

/** Runs participants on a disk that stops at each of its calls in turn. */
class ChangesStoreTest {

    private static final String NAME = "n1";
    private static final String LEADER = "10.0.0.1:1";
    private static final long CAPACITY = 1L << 24;
    private static final int STEPS = 60;
    private static final long TERM = 5;

    /** A participant on a disk, and the newest version that it has confirmed to others. */
    private static final class Run implements DistributionActions {
        private final Role role;
        private final ChangesStore store;
        private final Participant participant;
        private long confirmed;

        Run(FaultyDisk disk, Role role) throws IOException, StoreException {
            this.role = role;
            List<String> services = role == Role.SUBSCRIBER ? List.of("a") : List.of();
            store = ChangesStore.open(disk, NAME, role, services);
            participant =
                    new Participant(
                            new DistributionSettings(
                                    NAME,
                                    role,
                                    1,
                                    "10.0.0.2:1",
                                    List.of(LEADER, "10.0.0.2:1", "10.0.0.3:1"),
                                    role == Role.REPLICA ? List.of() : List.of(LEADER),
                                    services),
                            store.takeRecords(),
                            0,
                            new SplittableRandom(1),
                            this);
        }

        /**
         * Receives the entries after the version here, or a whole state, from a leader or source.
         */
        void runSteps(List<LogEntry> all, UniformRandomProvider random) throws StoreException {
            if (role == Role.REPLICA) {
                participant.initialize();
            }
            for (int step = 0; step < STEPS; step++) {
                long now = step * 300_000L;
                participant.onMessage(now, LEADER, nextMessage(all, random));
                participant.timer(now);
                if (random.nextInt(8) == 0) {
                    store.snapshot(participant.snapshotRecords());
                }
            }
        }

        private Message nextMessage(List<LogEntry> all, UniformRandomProvider random) {
            int lastConfirmed = (int) Math.max(confirmed, participant.version());
            int endVersion = Math.min(all.size(), lastConfirmed + random.nextInt(3));
            List<LogEntry> entries = all.subList(lastConfirmed, endVersion);
            if (role == Role.REPLICA) {
                long previousTerm = lastConfirmed == 0 ? 0 : TERM;
                return new Message.Append(
                        1, TERM, lastConfirmed, 0, lastConfirmed, previousTerm, entries);
            }
            if (participant.epoch() == 0 || random.nextInt(6) == 0) {
                return new Message.SnapshotPart(
                        1, endVersion, TERM, 0, 0, true, true, valuesAt(all, endVersion));
            }
            return new Message.Delta(1, lastConfirmed, endVersion, TERM, 0, entries);
        }

        @Override
        public void send(String peer, Message message) {
            if (message instanceof Message.Appended of && of.accepted()) {
                confirmed = Math.max(confirmed, of.version());
            } else if (message instanceof Message.Ack of) {
                confirmed = Math.max(confirmed, of.version());
            }
        }

        @Override
        public boolean force(List<DiskRecord> records) {
            try {
                store.append(records);
                return true;
            } catch (StoreException failed) {
                return false;
            }
        }
    }

    private static List<LogEntry> randomLog() {
        UniformRandomProvider random = new Seeds(7).stream("log");
        List<LogEntry> all = new ArrayList<>();
        for (long version = 1; version <= 3 * STEPS; version++) {
            String key = "service/a/x" + random.nextInt(12);
            String value = random.nextInt(5) == 0 ? null : "v" + version;
            all.add(new LogEntry(version, TERM, key, value));
        }
        return all;
    }

    /** The newest entry of each key up to a version, in the order of keys. */
    private static List<LogEntry> valuesAt(List<LogEntry> all, int version) {
        Map<String, LogEntry> newest = new TreeMap<>();
        all.subList(0, version).forEach(entry -> newest.put(entry.key(), entry));
        return List.copyOf(newest.values());
    }

    /** The last entry that a replica has on disk, committed or not. */
    private static long lastVersion(Participant participant) {
        long last = participant.version();
        for (DiskRecord record : participant.snapshotRecords()) {
            last = record instanceof DiskRecord.Appended of ? of.entry().version() : last;
        }
        return last;
    }

    @ParameterizedTest
    @EnumSource(Role.class)
    void confirmedRecordsSurviveCrashAtAnyDiskCall(Role role) throws Exception {
        List<LogEntry> all = randomLog();
        FaultyDisk faultless = new FaultyDisk(CAPACITY);
        new Run(faultless, role).runSteps(all, new Seeds(9).stream("work"));
        assertTrue(faultless.changingCallCount() > STEPS, "calls " + faultless.changingCallCount());
        for (long call = 0; call < faultless.changingCallCount(); call++) {
            FaultyDisk disk = new FaultyDisk(CAPACITY);
            disk.injectFaultAt(call, Fault.STOP_AFTER);
            Run run = null;
            try {
                run = new Run(disk, role);
                run.runSteps(all, new Seeds(9).stream("work"));
            } catch (FaultyDisk.Stopped stopped) {
                // Restarts below.
            }
            long confirmed = run == null ? 0 : run.confirmed;
            for (int survivor = 0; survivor < 4; survivor++) {
                FaultyDisk survivingDisk =
                        disk.afterPowerLoss(new Seeds(call).stream("left" + survivor));
                Participant restarted = new Run(survivingDisk, role).participant;
                long last = role == Role.REPLICA ? lastVersion(restarted) : restarted.version();
                assertTrue(last >= confirmed, "call " + call + ": " + last + " of " + confirmed);
                Map<String, String> values = new TreeMap<>();
                valuesAt(all, (int) restarted.version()).stream()
                        .filter(entry -> entry.value() != null)
                        .forEach(entry -> values.put(entry.key(), entry.value()));
                assertEquals(values, restarted.values(), "call " + call);
            }
        }
    }

    /**
     * The old values serve, and the whole state is fetched, because the keys of the other services
     * were skipped.
     */
    @Test
    void subscriberToOtherServicesKeepsValuesWithoutVersion() throws Exception {
        FaultyDisk disk = new FaultyDisk(CAPACITY);
        Run before = new Run(disk, Role.SUBSCRIBER);
        before.runSteps(randomLog(), new Seeds(9).stream("work"));
        ChangesStore store = ChangesStore.open(disk, NAME, Role.SUBSCRIBER, List.of("b"));
        Participant after =
                new Participant(
                        new DistributionSettings(
                                NAME,
                                Role.SUBSCRIBER,
                                1,
                                "",
                                List.of(),
                                List.of(LEADER),
                                List.of("b")),
                        store.takeRecords(),
                        0,
                        new SplittableRandom(1),
                        before);
        assertEquals(before.participant.values(), after.values());
        assertEquals(0, after.version());
        assertEquals(0, after.epoch());
    }

    @Test
    void replicaRejectsFollowerStore() throws Exception {
        FaultyDisk disk = new FaultyDisk(CAPACITY);
        ChangesStore.open(disk, NAME, Role.RELAY, List.of()).close();
        assertThrows(
                StoreException.Foreign.class,
                () -> ChangesStore.open(disk, NAME, Role.REPLICA, List.of()));
    }
}
