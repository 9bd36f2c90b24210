package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import passhatch.lab.Seeds;
import passhatch.lab.standin.UdpRelay.NetworkConditions;

/**
 * Changes are distributed while agents are killed, stopped and cut off, and datagrams are lost,
 * duplicated, truncated and delayed.
 */
@Tag("long")
class ChangesFaultsIT {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();
    private static final int SUBSCRIBERS = 8;
    private static final int FAULTS = 40;
    private static final long TIMEOUT_MS = 60_000;
    private static final long FAULT_DURATION_MS = 3_000;
    private static final NetworkConditions BAD_NETWORK =
            new NetworkConditions(0.1, 0.05, 0.02, 0.05, 1_000, 5_000);

    @TempDir private Path folder;
    private ChangesTestbed testbed;

    /** Polls the versions in force at subscribers; a version that decreases is a violation. */
    private final class VersionChecker implements Runnable {
        private final Map<Integer, Long> highest = new TreeMap<>();
        private final List<String> violations = new ArrayList<>();
        private volatile boolean stopped;

        @Override
        public void run() {
            while (!stopped) {
                for (int subscriber : testbed.subscribers()) {
                    long version = testbed.versionInForce(subscriber);
                    long before = highest.getOrDefault(subscriber, 0L);
                    if (version >= 0 && version < before) {
                        violations.add(
                                "m" + subscriber + " decreased from " + before + " to " + version);
                    }
                    highest.put(subscriber, Math.max(before, version));
                }
            }
        }
    }

    private int chooseVictim(int faultIndex, UniformRandomProvider random)
            throws InterruptedException {
        ChangesTestbed.await(() -> testbed.leaderIndex() >= 0, TIMEOUT_MS, "no replica leads");
        int leader = Math.max(0, testbed.leaderIndex());
        return switch (faultIndex % 4) {
            case 0 -> leader;
            case 1 -> (leader + 1) % ChangesTestbed.REPLICA_COUNT;
            case 2 -> ChangesTestbed.REPLICA_COUNT + random.nextInt(ChangesTestbed.RELAY_COUNT);
            default -> testbed.subscribers().get(random.nextInt(testbed.subscribers().size()));
        };
    }

    private void injectFault(int faultIndex, int victim) throws Exception {
        AgentProcess agent = testbed.agent(victim);
        switch (faultIndex / 4 % 3) {
            case 0 -> agent.process().signal("KILL");
            case 1 -> agent.process().signal("STOP");
            default -> {
                testbed.changesRelay().setConnectivity((a, b) -> a != victim && b != victim);
                testbed.fleetRelay().setConnectivity((a, b) -> a != victim && b != victim);
            }
        }
        Thread.sleep(FAULT_DURATION_MS);
        if (!agent.process().isAlive()) {
            agent.process().start();
        }
        agent.process().signal("CONT");
        testbed.changesRelay().setConnectivity((a, b) -> true);
        testbed.fleetRelay().setConnectivity((a, b) -> true);
        ChangesTestbed.await(
                () -> testbed.versionInForce(victim) >= 0,
                TIMEOUT_MS,
                "m" + victim + " does not answer: " + agent.process().logTail());
    }

    @Test
    void noCommittedChangeIsLostAndNoVersionFalls() throws Exception {
        UniformRandomProvider random = new Seeds(4).stream("faults");
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try (ChangesTestbed started = new ChangesTestbed(JAR, folder, SUBSCRIBERS, 2)) {
            testbed = started;
            testbed.start(TIMEOUT_MS);
            ChangesWriter writer = new ChangesWriter(testbed);
            VersionChecker versionChecker = new VersionChecker();
            Future<?> writing = threads.submit(writer);
            Future<?> watching = threads.submit(versionChecker);
            for (int fault = 0; fault < FAULTS; fault++) {
                NetworkConditions weather =
                        fault % 2 == 0 ? NetworkConditions.UNIMPAIRED : BAD_NETWORK;
                testbed.changesRelay().setConditions(weather);
                int victim = chooseVictim(fault, random);
                writer.disturbedSubscribers().add(victim);
                injectFault(fault, victim);
                writer.disturbedSubscribers().remove(victim);
            }
            testbed.changesRelay().setConditions(NetworkConditions.UNIMPAIRED);
            writer.stop();
            versionChecker.stopped = true;
            writing.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            watching.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertEquals(List.of(), versionChecker.violations);
            checkFinalState(writer);
        } finally {
            threads.shutdownNow();
        }
    }

    private void checkFinalState(ChangesWriter writer) throws InterruptedException {
        ChangesTestbed.await(
                () ->
                        testbed.allAgents().stream().map(testbed::versionInForce).distinct().count()
                                == 1,
                TIMEOUT_MS,
                "not all agents reach the same version");
        Map<String, String> allValues = testbed.valuesInForce(0);
        for (int agent : testbed.allAgents()) {
            Map<String, String> wanted = new TreeMap<>(allValues);
            if (testbed.subscribers().contains(agent)) {
                String prefix = "service/" + ChangesTestbed.serviceOf(agent) + "/";
                wanted.keySet().removeIf(key -> !key.startsWith(prefix));
            }
            assertEquals(wanted, testbed.valuesInForce(agent), "m" + agent);
        }
        writer.committedChanges().forEach((key, change) -> checkKept(allValues, key, change));
        List<Long> times = writer.inForceDelaysMs();
        Collections.sort(times);
        assertTrue(times.size() > FAULTS, "changes " + times.size());
        System.out.printf(
                "changes: %d faults, %d committed, %d of unknown outcome;"
                        + " in force after median %d ms, 99 %% %d ms, worst %d ms%n",
                FAULTS,
                times.size(),
                writer.unknownOutcomes(),
                times.get(times.size() / 2),
                times.get(times.size() * 99 / 100),
                times.get(times.size() - 1));
    }

    /** A later change whose outcome is not known may have replaced the committed one. */
    private static void checkKept(
            Map<String, String> allValues, String key, ChangesWriter.Committed change) {
        String value = allValues.get(key);
        assertNotNull(value, key);
        long version = Long.parseLong(value.substring(value.indexOf('@') + 1));
        boolean kept =
                version > change.version() || value.equals(change.value() + "@" + change.version());
        assertTrue(kept, key + " has " + value + ", committed was " + change);
    }
}
