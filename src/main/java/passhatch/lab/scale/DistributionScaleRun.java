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
import passhatch.lab.distribution.Network;
import passhatch.lab.distribution.Node;
import passhatch.lab.distribution.SimulatedLease;
import passhatch.lab.distribution.Simulation;

/**
 * Simulates one fleet of a given size, and measures the traffic and processor time of each role and
 * the delay until changes are in force at subscribers.
 */
final class DistributionScaleRun {

    private static final long SECOND_US = 1_000_000;
    private static final double LOSS_RATIO = 0.05;
    private static final int REPLICAS = 5;
    private static final int SERVICES = 2_600;
    private static final int SETTINGS_PER_SERVICE = 2;
    private static final int SERVICES_PER_SUBSCRIBER = 30;

    /**
     * Simulated time before the first event. It is longer than the time after which a follower that
     * has left its preferred source tries that source again.
     */
    private static final long WARM_UP_US = 60 * SECOND_US;

    private static final long IDLE_DURATION_US = 10 * SECOND_US;

    /** Time between two changes; the rate is 1,000 changes a minute. */
    private static final long CHANGE_INTERVAL_US = 60_000;

    private static final long SETTLE_TIME_US = 5 * SECOND_US;
    private static final long CATCH_UP_TIMEOUT_US = 60 * SECOND_US;
    private static final long POLL_INTERVAL_US = 100_000;
    private static final long FAILOVER_LEASE_US = 2 * SECOND_US;
    private static final long ZONE_PARTITION_US = 30 * SECOND_US;
    private static final long REGION_PARTITION_US = 120 * SECOND_US;

    /** One subscriber in this many is restarted. */
    private static final int RESTARTED_DIVISOR = 10;

    /**
     * A change that no leader has accepted yet.
     *
     * @param createdUs simulated time of the change's creation
     * @param measured selects the subscribers at which the change's delay is measured
     */
    private record PendingChange(
            String service, String value, long createdUs, Predicate<Node> measured) {}

    private final Fleet fleet;
    private final Simulation simulation;
    private final DistributionMeter meter = new DistributionMeter();
    private final SimulatedLease lease;
    private final UniformRandomProvider random;
    private final int changesPerEvent;
    private final Map<String, List<Node>> subscribersByService = new HashMap<>();
    private final Map<String, Double> figures = new TreeMap<>();
    private final Deque<PendingChange> pendingChanges = new ArrayDeque<>();
    private long createdChangeCount;
    private long maxLeaderWaitUs;

    DistributionScaleRun(int subscribers, int zones, int regions, int changesPerEvent, long seed) {
        Seeds seeds = new Seeds(seed);
        this.changesPerEvent = changesPerEvent;
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
                new Network(
                        seeds.stream("network"), regions, new Network.Quality(LOSS_RATIO, 0, 0));
        simulation = new Simulation(seed, network, Simulation.Fidelity.SAMPLED, meter);
        meter.setClock(simulation::nowUs);
        fleet.addNodesTo(simulation);
        lease =
                new SimulatedLease(
                        simulation,
                        simulation.nodes(Role.REPLICA),
                        seeds.stream("lease"),
                        Fleet.INITIAL_TERM);
        for (Node node : simulation.nodes(Role.SUBSCRIBER)) {
            for (String service : node.settings().services()) {
                subscribersByService.computeIfAbsent(service, any -> new ArrayList<>()).add(node);
            }
        }
    }

    /**
     * Measures the given events in the order of {@link DistributionEvent}, and returns all figures
     * by name.
     */
    Map<String, Double> run(Set<DistributionEvent> events) {
        for (Node node : simulation.nodes()) {
            node.setDisk(fleet.initialDisk(node));
            node.start();
            if (node.role() != Role.REPLICA) {
                node.setDisk(List.of());
            }
        }
        lease.start();
        advance(WARM_UP_US);
        EnumSet.copyOf(events).forEach(this::run);
        return figures;
    }

    private void run(DistributionEvent event) {
        switch (event) {
            case IDLE -> measureIdle();
            case CHANGES -> measureChanges(event.label(), () -> {});
            case RELAY_KILLED -> measureRelayKill();
            case LEADER_KILLED -> measureLeaderKill(event.label());
            case ZONE_CUT -> measureZonePartition(event.label());
            case REGION_CUT -> measureRegionPartition(event.label());
            case TENTH_RESTARTED -> measureRestart(event.label());
            case COLD -> measureColdStart();
        }
    }

    private void advance(long durationUs) {
        simulation.runUntil(simulation.nowUs() + durationUs);
    }

    private void measureIdle() {
        meter.reset();
        Map<Role, Long> busyBefore = busyNanosByRole();
        advance(IDLE_DURATION_US);
        recordCosts("idle", IDLE_DURATION_US, busyBefore);
    }

    private Map<Role, Long> busyNanosByRole() {
        Map<Role, Long> nanosByRole = new HashMap<>();
        simulation.nodes().forEach(n -> nanosByRole.merge(n.role(), n.busyNanos(), Long::sum));
        return nanosByRole;
    }

    private void recordCosts(String phase, long durationUs, Map<Role, Long> busyBefore) {
        double seconds = durationUs * 1e-6;
        Map<Role, Long> busyAfter = busyNanosByRole();
        for (Role role : Role.values()) {
            Collection<Node> nodes = simulation.nodes(role);
            long bytes = nodes.stream().mapToLong(n -> meter.trafficOf(n).bytes()).sum();
            long datagrams = nodes.stream().mapToLong(n -> meter.trafficOf(n).datagrams()).sum();
            long maxBytes =
                    nodes.stream().mapToLong(n -> meter.trafficOf(n).bytes()).max().orElse(0);
            String name = phase + "." + role.name().toLowerCase(Locale.ROOT);
            figures.put(name + ".bytes_per_s", bytes / seconds / nodes.size());
            figures.put(name + ".most_bytes_per_s", maxBytes / seconds);
            figures.put(name + ".datagrams_per_s", datagrams / seconds / nodes.size());
            long busyNanos = busyAfter.get(role) - busyBefore.get(role);
            figures.put(name + ".busy_share", busyNanos * 1e-9 / seconds / nodes.size());
        }
        if (lease.holder() != null) {
            figures.put(
                    phase + ".leader.bytes_per_s",
                    meter.trafficOf(lease.holder()).bytes() / seconds);
        }
    }

    private void measureChanges(String phase, Runnable atMidpoint) {
        meter.reset();
        Map<Role, Long> busyBefore = busyNanosByRole();
        long startUs = simulation.nowUs();
        for (int i = 0; i < changesPerEvent; i++) {
            if (i == changesPerEvent / 2) {
                atMidpoint.run();
            }
            createChange(node -> true);
            advance(CHANGE_INTERVAL_US);
        }
        recordCosts(phase, simulation.nowUs() - startUs, busyBefore);
        retryPendingChanges();
        advance(SETTLE_TIME_US);
        recordDelays(phase);
    }

    private void recordDelays(String phase) {
        figures.put(phase + ".in_force_s.median", meter.delayQuantileSeconds(0.5));
        figures.put(phase + ".in_force_s.p999", meter.delayQuantileSeconds(0.999));
        figures.put(phase + ".in_force_s.worst", meter.delayQuantileSeconds(1));
        figures.put(phase + ".samples", (double) meter.delayCount());
        figures.put(phase + ".missing", (double) meter.missingCount());
    }

    /**
     * Creates a change and tries to submit it. The delay of the change is measured from its
     * creation, so it includes the time until a majority of the replicas has the change.
     */
    private void createChange(Predicate<Node> measured) {
        String service = "service-" + random.nextInt(SERVICES);
        String value = Long.toString(1 + createdChangeCount++ % 60_000);
        pendingChanges.add(new PendingChange(service, value, simulation.nowUs(), measured));
        submitPendingChanges();
    }

    /**
     * Submits the pending changes in order. Stops at the first change that is not accepted. A
     * change is not accepted if there is no leader or if the leader rejects it.
     */
    private void submitPendingChanges() {
        while (!pendingChanges.isEmpty() && trySubmit(pendingChanges.peekFirst())) {
            PendingChange accepted = pendingChanges.removeFirst();
            maxLeaderWaitUs = Math.max(maxLeaderWaitUs, simulation.nowUs() - accepted.createdUs());
        }
    }

    private boolean trySubmit(PendingChange change) {
        if (lease.holder() == null) {
            return false;
        }
        String key = "service/" + change.service() + "/deadline_ms";
        AtomicLong version = new AtomicLong();
        lease.holder()
                .invoke(
                        participant -> {
                            try {
                                version.set(
                                        participant.submit(
                                                simulation.nowUs(), key, change.value(), -1));
                            } catch (InvalidChangeException refused) {
                                figures.merge("refused", 1.0, Double::sum);
                            }
                        });
        if (version.get() == 0) {
            return false;
        }
        List<Node> subscribers = subscribersByService.getOrDefault(change.service(), List.of());
        List<Node> measured = subscribers.stream().filter(change.measured()).toList();
        meter.expect(key, version.get(), change.createdUs(), measured);
        return true;
    }

    /**
     * Resubmits changes that no leader has accepted, as an operator would, for up to 60 simulated
     * seconds.
     */
    private void retryPendingChanges() {
        long deadlineUs = simulation.nowUs() + CATCH_UP_TIMEOUT_US;
        while (!pendingChanges.isEmpty() && simulation.nowUs() < deadlineUs) {
            advance(CHANGE_INTERVAL_US);
            submitPendingChanges();
        }
    }

    private void measureRelayKill() {
        Node relay = simulation.nodes(Role.RELAY).get(0);
        measureChanges("relay_killed", relay::kill);
        relay.setDisk(fleet.initialDisk(relay));
        relay.start();
        relay.setDisk(List.of());
        advance(SETTLE_TIME_US);
    }

    /**
     * Kills the leader halfway through a series of changes. A change that no leader accepts is
     * submitted again later, but its delay is measured from its creation.
     */
    private void measureLeaderKill(String phase) {
        maxLeaderWaitUs = 0;
        Node leader = lease.holder();
        lease.setLeaseUs(FAILOVER_LEASE_US);
        measureChanges(
                phase,
                () -> {
                    leader.compact();
                    leader.kill();
                });
        figures.put(phase + ".longest_wait_for_leader_s", maxLeaderWaitUs * 1e-6);
        lease.setLeaseUs(SimulatedLease.DEFAULT_LEASE_US);
        leader.start();
        leader.setDisk(List.of());
        advance(SETTLE_TIME_US);
    }

    private void measureZonePartition(String phase) {
        List<Node> relays = simulation.nodes(Role.RELAY);
        int zone = relays.get(relays.size() - 1).location().zone();
        measurePartition(phase, node -> node.location().zone() == zone, ZONE_PARTITION_US);
    }

    /**
     * Measures a partition of one region from the others. The region has a replica but not the
     * leader.
     */
    private void measureRegionPartition(String phase) {
        int leaderRegion = lease.holder().location().region();
        int region =
                simulation.nodes(Role.REPLICA).stream()
                        .mapToInt(node -> node.location().region())
                        .filter(other -> other != leaderRegion)
                        .findFirst()
                        .orElse(leaderRegion);
        measurePartition(phase, node -> node.location().region() == region, REGION_PARTITION_US);
    }

    /**
     * Partitions the nodes for which {@code inside} is true from all others while changes continue,
     * and measures the delay of the changes at the subscribers among the others. Then ends the
     * partition, and measures how long the partitioned subscribers take to catch up.
     */
    private void measurePartition(String phase, Predicate<Node> inside, long durationUs) {
        meter.reset();
        BiPredicate<Node, Node> blocked = (from, to) -> inside.test(from) ^ inside.test(to);
        simulation.network().block(blocked);
        long startUs = simulation.nowUs();
        while (simulation.nowUs() < startUs + durationUs) {
            createChange(inside.negate());
            advance(CHANGE_INTERVAL_US);
        }
        simulation.network().unblock(blocked);
        measureCatchUp(phase, simulation.nodes(Role.SUBSCRIBER).stream().filter(inside).toList());
        advance(SETTLE_TIME_US);
        recordDelays(phase + ".elsewhere");
    }

    /**
     * Records the simulated time until the given nodes have all changes that the replicas have now.
     * Waits for up to 60 simulated seconds.
     */
    private void measureCatchUp(String phase, List<Node> nodes) {
        long head = highestReplicaVersion();
        long behindCount =
                nodes.stream().filter(node -> node.participant().version() < head).count();
        figures.put(phase + ".behind", (double) behindCount);
        figures.put(phase + ".nodes", (double) nodes.size());
        long startUs = simulation.nowUs();
        while (nodes.stream().anyMatch(node -> node.participant().version() < head)
                && simulation.nowUs() < startUs + CATCH_UP_TIMEOUT_US) {
            advance(POLL_INTERVAL_US);
        }
        figures.put(phase + ".until_all_s", (simulation.nowUs() - startUs) * 1e-6);
    }

    private long highestReplicaVersion() {
        return simulation.nodes(Role.REPLICA).stream()
                .filter(Node::isUp)
                .mapToLong(node -> node.participant().version())
                .max()
                .orElse(0);
    }

    /**
     * Kills a tenth of the subscribers, makes changes, and then starts the killed subscribers at
     * the same time from the state on their disks.
     */
    private void measureRestart(String phase) {
        List<Node> subscribers = simulation.nodes(Role.SUBSCRIBER);
        int count = (subscribers.size() + RESTARTED_DIVISOR - 1) / RESTARTED_DIVISOR;
        List<Node> restarted = subscribers.subList(0, count);
        restarted.forEach(
                node -> {
                    node.compact();
                    node.kill();
                });
        for (int i = 0; i < changesPerEvent; i++) {
            createChange(node -> true);
            advance(CHANGE_INTERVAL_US);
        }
        meter.reset();
        Map<Role, Long> busyBefore = busyNanosByRole();
        long startUs = simulation.nowUs();
        restarted.forEach(
                node -> {
                    node.start();
                    node.setDisk(List.of());
                });
        measureCatchUp(phase, restarted);
        recordCosts(phase, simulation.nowUs() - startUs, busyBefore);
    }

    /** Restarts all subscribers at the same time with empty disks. */
    private void measureColdStart() {
        meter.reset();
        Map<Role, Long> busyBefore = busyNanosByRole();
        List<Node> subscribers = simulation.nodes(Role.SUBSCRIBER);
        long startUs = simulation.nowUs();
        subscribers.forEach(
                node -> {
                    node.kill();
                    node.setDisk(List.of());
                    node.start();
                });
        while (subscribers.stream().anyMatch(node -> node.participant().version() == 0)
                && simulation.nowUs() < startUs + CATCH_UP_TIMEOUT_US) {
            advance(POLL_INTERVAL_US);
        }
        figures.put("cold.until_all_s", (simulation.nowUs() - startUs) * 1e-6);
        recordCosts("cold", simulation.nowUs() - startUs, busyBefore);
        figures.put(
                "entries_held.subscriber.most",
                (double)
                        subscribers.stream()
                                .mapToInt(node -> node.participant().values().size())
                                .max()
                                .orElse(0));
    }
}
