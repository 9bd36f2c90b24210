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

/** Changes go on while agents are killed and held, datagrams get lost, and zones are cut off. */
@Tag("long")
class ChangesFaultsIT {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();
    private static final int SUBSCRIBERS = 8;
    private static final int FAULTS = 40;
    private static final long PATIENCE_MS = 60_000;
    private static final long FAULT_MS = 3_000;
    private static final NetworkConditions BAD =
            new NetworkConditions(0.1, 0.05, 0.02, 0.05, 1_000, 5_000);

    @TempDir private Path folder;
    private ChangesField field;

    /** Versions at subscribers, by asking them over and over; a lower one is a fault. */
    private final class VersionWatch implements Runnable {
        private final Map<Integer, Long> highest = new TreeMap<>();
        private final List<String> faults = new ArrayList<>();
        private volatile boolean over;

        @Override
        public void run() {
            while (!over) {
                for (int subscriber : field.subscribers()) {
                    long version = field.version(subscriber);
                    long before = highest.getOrDefault(subscriber, 0L);
                    if (version >= 0 && version < before) {
                        faults.add("m" + subscriber + " fell from " + before + " to " + version);
                    }
                    highest.put(subscriber, Math.max(before, version));
                }
            }
        }
    }

    private int victim(int kind, UniformRandomProvider random) throws InterruptedException {
        ChangesField.await(() -> field.leader() >= 0, PATIENCE_MS, "nobody leads");
        int leader = Math.max(0, field.leader());
        return switch (kind % 4) {
            case 0 -> leader;
            case 1 -> (leader + 1) % ChangesField.REPLICAS;
            case 2 -> ChangesField.REPLICAS + random.nextInt(ChangesField.RELAYS);
            default -> field.subscribers().get(random.nextInt(field.subscribers().size()));
        };
    }

    private void disturb(int fault, int victim) throws Exception {
        AgentChild agent = field.agent(victim);
        switch (fault / 4 % 3) {
            case 0 -> agent.child().signal("KILL");
            case 1 -> agent.child().signal("STOP");
            default -> {
                field.changesRelay().setConnectivity((a, b) -> a != victim && b != victim);
                field.fleetRelay().setConnectivity((a, b) -> a != victim && b != victim);
            }
        }
        Thread.sleep(FAULT_MS);
        if (!agent.child().alive()) {
            agent.child().start();
        }
        agent.child().signal("CONT");
        field.changesRelay().setConnectivity((a, b) -> true);
        field.fleetRelay().setConnectivity((a, b) -> true);
        ChangesField.await(
                () -> field.version(victim) >= 0,
                PATIENCE_MS,
                "m" + victim + " does not answer: " + agent.child().logEnd());
    }

    @Test
    void noCommittedChangeIsLostAndNoVersionFalls() throws Exception {
        UniformRandomProvider random = new Seeds(4).stream("faults");
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try (ChangesField opened = new ChangesField(JAR, folder, SUBSCRIBERS, 2)) {
            field = opened;
            field.start(PATIENCE_MS);
            ChangesWriter writer = new ChangesWriter(field);
            VersionWatch watch = new VersionWatch();
            Future<?> writing = threads.submit(writer);
            Future<?> watching = threads.submit(watch);
            for (int fault = 0; fault < FAULTS; fault++) {
                NetworkConditions weather = fault % 2 == 0 ? NetworkConditions.UNIMPAIRED : BAD;
                field.changesRelay().setConditions(weather);
                int victim = victim(fault, random);
                writer.disturbed().add(victim);
                disturb(fault, victim);
                writer.disturbed().remove(victim);
            }
            field.changesRelay().setConditions(NetworkConditions.UNIMPAIRED);
            writer.end();
            watch.over = true;
            writing.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
            watching.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
            assertEquals(List.of(), watch.faults);
            check(writer);
        } finally {
            threads.shutdownNow();
        }
    }

    private void check(ChangesWriter writer) throws InterruptedException {
        ChangesField.await(
                () -> field.all().stream().map(field::version).distinct().count() == 1,
                PATIENCE_MS,
                "not all agents come to the same version");
        Map<String, String> whole = field.values(0);
        for (int agent : field.all()) {
            Map<String, String> wanted = new TreeMap<>(whole);
            if (field.subscribers().contains(agent)) {
                String prefix = "service/" + ChangesField.service(agent) + "/";
                wanted.keySet().removeIf(key -> !key.startsWith(prefix));
            }
            assertEquals(wanted, field.values(agent), "m" + agent);
        }
        writer.committed().forEach((key, change) -> checkKept(whole, key, change));
        List<Long> times = writer.inForceMs();
        Collections.sort(times);
        assertTrue(times.size() > FAULTS, "changes " + times.size());
        System.out.printf(
                "changes: %d faults, %d committed, %d of unknown outcome;"
                        + " in force after median %d ms, 99 %% %d ms, worst %d ms%n",
                FAULTS,
                times.size(),
                writer.unknown(),
                times.get(times.size() / 2),
                times.get(times.size() * 99 / 100),
                times.get(times.size() - 1));
    }

    /** A later change whose outcome was not known may have taken its place. */
    private static void checkKept(
            Map<String, String> whole, String key, ChangesWriter.Committed change) {
        String value = whole.get(key);
        assertNotNull(value, key);
        long version = Long.parseLong(value.substring(value.indexOf('@') + 1));
        boolean kept =
                version > change.version() || value.equals(change.value() + "@" + change.version());
        assertTrue(kept, key + " has " + value + ", committed was " + change);
    }
}
