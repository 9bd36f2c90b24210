package passhatch.lab.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
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
    private static final long LEASE_US = 2 * SECOND;
    private static final long ZONE_CUT_US = 30 * SECOND;
    private static final long REGION_CUT_US = 120 * SECOND;
    private static final int RESTARTED_ONE_IN = 10;

    /** A change to submit; its time in force is counted at some subscribers. */
    private record Change(String service, String value, long sinceUs, Predicate<Node> counted) {}

    private final Fleet fleet;
    private final Simulation simulation;
    private final DistributionMeter meter = new DistributionMeter();
    private final LeaseStandIn lease;
    private final UniformRandomProvider random;
    private final int changes;
    private final Map<String, List<Node>> wanting = new HashMap<>();
    private final Map<String, Double> figures = new TreeMap<>();
    private final Deque<Change> untaken = new ArrayDeque<>();
    private long submitted;
    private long longestWaitUs;

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

    /** Plays events in the order of the enum; figures by name. */
    Map<String, Double> play(Set<DistributionEvent> events) {
        for (Node node : simulation.nodes()) {
            node.setDisk(fleet.diskOf(node));
            node.start();
            if (node.role() != Role.REPLICA) {
                node.setDisk(List.of());
            }
        }
        lease.start();
        pass(WARM_UP_US);
        EnumSet.copyOf(events).forEach(this::play);
        return figures;
    }

    private void play(DistributionEvent event) {
        switch (event) {
            case IDLE -> idle();
            case CHANGES -> changes(event.label(), () -> {});
            case RELAY_KILLED -> relayKilled();
            case LEADER_KILLED -> leaderKilled(event.label());
            case ZONE_CUT -> zoneCut(event.label());
            case REGION_CUT -> regionCut(event.label());
            case TENTH_RESTARTED -> tenthRestarted(event.label());
            case COLD -> cold();
        }
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
            change(node -> true);
            pass(CHANGE_EVERY_US);
        }
        costs(phase, simulation.nowUs() - startUs, busyBefore);
        finishUntaken();
        pass(SETTLE_US);
        inForce(phase);
    }

    private void inForce(String phase) {
        figures.put(phase + ".in_force_s.median", meter.quantile(0.5));
        figures.put(phase + ".in_force_s.p999", meter.quantile(0.999));
        figures.put(phase + ".in_force_s.worst", meter.quantile(1));
        figures.put(phase + ".samples", (double) meter.samples());
        figures.put(phase + ".missing", (double) meter.missing());
    }

    /** Submits a change; it counts from here on, so the time to a majority is included. */
    private void change(Predicate<Node> counted) {
        String service = "service-" + random.nextInt(SERVICES);
        String value = Long.toString(1 + submitted++ % 60_000);
        untaken.add(new Change(service, value, simulation.nowUs(), counted));
        submitUntaken();
    }

    /** Submits changes in their order until a leader refuses one or there is none. */
    private void submitUntaken() {
        while (!untaken.isEmpty() && isTaken(untaken.peekFirst())) {
            Change taken = untaken.removeFirst();
            longestWaitUs = Math.max(longestWaitUs, simulation.nowUs() - taken.sinceUs());
        }
    }

    private boolean isTaken(Change change) {
        if (lease.holder() == null) {
            return false;
        }
        String key = "service/" + change.service() + "/deadline_ms";
        AtomicLong version = new AtomicLong();
        lease.holder()
                .run(
                        p -> {
                            try {
                                version.set(p.submit(simulation.nowUs(), key, change.value(), -1));
                            } catch (InvalidChangeException refused) {
                                figures.merge("refused", 1.0, Double::sum);
                            }
                        });
        if (version.get() == 0) {
            return false;
        }
        List<Node> nodes = wanting.getOrDefault(change.service(), List.of());
        List<Node> counted = nodes.stream().filter(change.counted()).toList();
        meter.expect(key, version.get(), change.sinceUs(), counted);
        return true;
    }

    /** Repeats changes that no leader has taken, as their operators would. */
    private void finishUntaken() {
        long limitUs = simulation.nowUs() + COLD_LIMIT_US;
        while (!untaken.isEmpty() && simulation.nowUs() < limitUs) {
            pass(CHANGE_EVERY_US);
            submitUntaken();
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

    /** A change that finds no leader is repeated, and counts from the first time. */
    private void leaderKilled(String phase) {
        longestWaitUs = 0;
        Node killed = lease.holder();
        lease.setLeaseUs(LEASE_US);
        changes(
                phase,
                () -> {
                    killed.compact();
                    killed.kill();
                });
        figures.put(phase + ".longest_wait_for_leader_s", longestWaitUs * 1e-6);
        lease.setLeaseUs(LeaseStandIn.DEFAULT_LEASE_US);
        killed.start();
        killed.setDisk(List.of());
        pass(SETTLE_US);
    }

    private void zoneCut(String phase) {
        List<Node> relays = simulation.nodes(Role.RELAY);
        int zone = relays.get(relays.size() - 1).location().zone();
        cut(phase, node -> node.location().zone() == zone, ZONE_CUT_US);
    }

    /** The region of a replica that does not lead. */
    private void regionCut(String phase) {
        int leading = lease.holder().location().region();
        int region =
                simulation.nodes(Role.REPLICA).stream()
                        .mapToInt(node -> node.location().region())
                        .filter(other -> other != leading)
                        .findFirst()
                        .orElse(leading);
        cut(phase, node -> node.location().region() == region, REGION_CUT_US);
    }

    /** Changes go on during the cut; their time in force is that of the nodes outside. */
    private void cut(String phase, Predicate<Node> inside, long us) {
        meter.reset();
        BiPredicate<Node, Node> severed = (from, to) -> inside.test(from) ^ inside.test(to);
        simulation.network().block(severed);
        long startUs = simulation.nowUs();
        while (simulation.nowUs() < startUs + us) {
            change(inside.negate());
            pass(CHANGE_EVERY_US);
        }
        simulation.network().unblock(severed);
        untilAtHead(phase, simulation.nodes(Role.SUBSCRIBER).stream().filter(inside).toList());
        pass(SETTLE_US);
        inForce(phase + ".elsewhere");
    }

    /** Waits until nodes have what is committed now. */
    private void untilAtHead(String phase, List<Node> nodes) {
        long head = head();
        long behind = nodes.stream().filter(node -> node.participant().version() < head).count();
        figures.put(phase + ".behind", (double) behind);
        figures.put(phase + ".nodes", (double) nodes.size());
        long startUs = simulation.nowUs();
        while (nodes.stream().anyMatch(node -> node.participant().version() < head)
                && simulation.nowUs() < startUs + COLD_LIMIT_US) {
            pass(STEP_US);
        }
        figures.put(phase + ".until_all_s", (simulation.nowUs() - startUs) * 1e-6);
    }

    private long head() {
        return simulation.nodes(Role.REPLICA).stream()
                .filter(Node::isUp)
                .mapToLong(node -> node.participant().version())
                .max()
                .orElse(0);
    }

    /** They are down while changes are made, and then start at once from what they had. */
    private void tenthRestarted(String phase) {
        List<Node> subscribers = simulation.nodes(Role.SUBSCRIBER);
        int count = (subscribers.size() + RESTARTED_ONE_IN - 1) / RESTARTED_ONE_IN;
        List<Node> restarted = subscribers.subList(0, count);
        restarted.forEach(
                node -> {
                    node.compact();
                    node.kill();
                });
        for (int i = 0; i < changes; i++) {
            change(node -> true);
            pass(CHANGE_EVERY_US);
        }
        meter.reset();
        Map<Role, Long> busyBefore = busy();
        long startUs = simulation.nowUs();
        restarted.forEach(
                node -> {
                    node.start();
                    node.setDisk(List.of());
                });
        untilAtHead(phase, restarted);
        costs(phase, simulation.nowUs() - startUs, busyBefore);
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
