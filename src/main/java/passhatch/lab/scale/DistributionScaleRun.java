package passhatch.lab.scale;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.InvalidChangeException;
import passhatch.lab.Seeds;
import passhatch.lab.distribution.Fleet;
import passhatch.lab.distribution.LeaseStandIn;
import passhatch.lab.distribution.Network;
import passhatch.lab.distribution.Node;
import passhatch.lab.distribution.Simulation;

/** One fleet of a size in simulated time: what its roles cost, and how fast changes arrive. */
final class DistributionScaleRun {

    private static final long SECOND = 1_000_000;
    private static final double LOSS = 0.05;
    private static final int REPLICAS = 5;
    private static final int SERVICES = 2_600;
    private static final int SETTINGS_PER_SERVICE = 2;
    private static final int SERVICES_PER_SUBSCRIBER = 30;

    /** Longer than a follower stays away from its preferred source. */
    private static final long WARM_UP_US = 60 * SECOND;

    private static final long IDLE_US = 10 * SECOND;

    /** 1,000 changes in a minute. */
    private static final long CHANGE_EVERY_US = 60_000;

    private static final long SETTLE_US = 5 * SECOND;
    private static final long COLD_LIMIT_US = 60 * SECOND;
    private static final long STEP_US = 100_000;

    private final Fleet fleet;
    private final Simulation simulation;
    private final DistributionMeter meter = new DistributionMeter();
    private final LeaseStandIn lease;
    private final UniformRandomProvider random;
    private final int changes;
    private final Map<String, List<Node>> wanting = new HashMap<>();
    private final Map<String, Double> figures = new TreeMap<>();
    private long submitted;

    DistributionScaleRun(int subscribers, int zones, int regions, int changes, long seed) {
        Seeds seeds = new Seeds(seed);
        this.changes = changes;
        random = seeds.stream("changes");
        Fleet.Shape shape =
                new Fleet.Shape(
                        REPLICAS,
                        regions,
                        zones,
                        subscribers,
                        SERVICES,
                        SETTINGS_PER_SERVICE,
                        SERVICES_PER_SUBSCRIBER);
        fleet = new Fleet(shape, seed);
        Network network =
                new Network(seeds.stream("network"), regions, new Network.Quality(LOSS, 0, 0));
        simulation = new Simulation(seed, network, Simulation.Fidelity.SAMPLED, meter);
        meter.setClock(simulation::nowUs);
        fleet.addTo(simulation);
        lease =
                new LeaseStandIn(
                        simulation,
                        simulation.nodes(Role.REPLICA),
                        seeds.stream("lease"),
                        Fleet.FIRST_TERM);
        for (Node node : simulation.nodes(Role.SUBSCRIBER)) {
            for (String service : node.settings().services()) {
                wanting.computeIfAbsent(service, any -> new ArrayList<>()).add(node);
            }
        }
    }

    /** Plays all phases; figures by name. */
    Map<String, Double> play() {
        for (Node node : simulation.nodes()) {
            node.setDisk(fleet.diskOf(node));
            node.start();
            if (node.role() != Role.REPLICA) {
                node.setDisk(List.of());
            }
        }
        lease.start();
        pass(WARM_UP_US);
        idle();
        changes("changes", () -> {});
        relayKilled();
        cold();
        return figures;
    }

    private void pass(long us) {
        simulation.runUntil(simulation.nowUs() + us);
    }

    private void idle() {
        meter.reset();
        Map<Role, Long> busyBefore = busy();
        pass(IDLE_US);
        costs("idle", IDLE_US, busyBefore);
    }

    private Map<Role, Long> busy() {
        Map<Role, Long> nanos = new HashMap<>();
        simulation.nodes().forEach(n -> nanos.merge(n.role(), n.busyNanos(), Long::sum));
        return nanos;
    }

    private void costs(String phase, long us, Map<Role, Long> busyBefore) {
        double seconds = us * 1e-6;
        Map<Role, Long> busyAfter = busy();
        for (Role role : Role.values()) {
            Collection<Node> nodes = simulation.nodes(role);
            long bytes = nodes.stream().mapToLong(n -> meter.of(n).bytes()).sum();
            long datagrams = nodes.stream().mapToLong(n -> meter.of(n).datagrams()).sum();
            long most = nodes.stream().mapToLong(n -> meter.of(n).bytes()).max().orElse(0);
            String name = phase + "." + role.name().toLowerCase(Locale.ROOT);
            figures.put(name + ".bytes_per_s", bytes / seconds / nodes.size());
            figures.put(name + ".most_bytes_per_s", most / seconds);
            figures.put(name + ".datagrams_per_s", datagrams / seconds / nodes.size());
            long nanos = busyAfter.get(role) - busyBefore.get(role);
            figures.put(name + ".busy_share", nanos * 1e-9 / seconds / nodes.size());
        }
        if (lease.holder() != null) {
            figures.put(phase + ".leader.bytes_per_s", meter.of(lease.holder()).bytes() / seconds);
        }
    }

    private void changes(String phase, Runnable inTheMiddle) {
        meter.reset();
        Map<Role, Long> busyBefore = busy();
        long startUs = simulation.nowUs();
        for (int i = 0; i < changes; i++) {
            if (i == changes / 2) {
                inTheMiddle.run();
            }
            change();
            pass(CHANGE_EVERY_US);
        }
        costs(phase, simulation.nowUs() - startUs, busyBefore);
        pass(SETTLE_US);
        figures.put(phase + ".in_force_s.median", meter.quantile(0.5));
        figures.put(phase + ".in_force_s.p999", meter.quantile(0.999));
        figures.put(phase + ".in_force_s.worst", meter.quantile(1));
        figures.put(phase + ".samples", (double) meter.samples());
        figures.put(phase + ".missing", (double) meter.missing());
    }

    /** Submits a change; it counts from here on, so the time to a majority is included. */
    private void change() {
        Node leader = lease.holder();
        if (leader == null) {
            return;
        }
        String service = "service-" + random.nextInt(SERVICES);
        String value = Long.toString(1 + submitted++ % 60_000);
        AtomicLong version = new AtomicLong();
        leader.run(
                p -> {
                    try {
                        String key = "service/" + service + "/deadline_ms";
                        version.set(p.submit(simulation.nowUs(), key, value, -1));
                    } catch (InvalidChangeException refused) {
                        figures.merge("refused", 1.0, Double::sum);
                    }
                });
        if (version.get() > 0) {
            meter.expect(version.get(), wanting.getOrDefault(service, List.of()));
        }
    }

    private void relayKilled() {
        Node relay = simulation.nodes(Role.RELAY).get(0);
        changes("relay_killed", relay::kill);
        relay.setDisk(fleet.diskOf(relay));
        relay.start();
        relay.setDisk(List.of());
        pass(SETTLE_US);
    }

    /** All subscribers begin with an empty disk at once. */
    private void cold() {
        meter.reset();
        Map<Role, Long> busyBefore = busy();
        List<Node> subscribers = simulation.nodes(Role.SUBSCRIBER);
        long startUs = simulation.nowUs();
        subscribers.forEach(
                node -> {
                    node.kill();
                    node.setDisk(List.of());
                    node.start();
                });
        while (subscribers.stream().anyMatch(node -> node.participant().version() == 0)
                && simulation.nowUs() < startUs + COLD_LIMIT_US) {
            pass(STEP_US);
        }
        figures.put("cold.until_all_s", (simulation.nowUs() - startUs) * 1e-6);
        costs("cold", simulation.nowUs() - startUs, busyBefore);
        figures.put(
                "entries_held.subscriber.most",
                (double)
                        subscribers.stream()
                                .mapToInt(node -> node.participant().values().size())
                                .max()
                                .orElse(0));
    }
}
