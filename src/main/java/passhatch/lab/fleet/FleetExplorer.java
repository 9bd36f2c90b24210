package passhatch.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.fleet.Incarnation;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Status;
import passhatch.lab.Seeds;

/**
 * Draws random faults from a seed, injects them into a simulated fleet and checks the invariants:
 * updates about a member only get newer, no member is seen as failed without a fault that affects
 * it, and views agree after the last fault.
 */
public final class FleetExplorer {

    /**
     * Maximum time from the last fault until all views agree; equal to the target for the time
     * after a partition has healed.
     */
    public static final long CONVERGENCE_TIMEOUT_US = 30_000_000;

    private static final long FAULT_PERIOD_MS = 120_000;
    private static final long STARTUP_PERIOD_US = 60_000_000;
    private static final int MAX_FAULTS = 8;
    private static final long CHECK_INTERVAL_US = 500_000;

    /**
     * The outcome of a run.
     *
     * @param violation description of the first invariant that did not hold, or null if all held
     * @param convergenceUs time from the last fault until all views agreed, in microseconds; -1 if
     *     they did not agree in time
     */
    public record Outcome(String violation, long convergenceUs) {}

    private final int memberCount;

    /** Creates an explorer for fleets with this number of members. */
    public FleetExplorer(int memberCount) {
        this.memberCount = memberCount;
    }

    /** Draws the faults for a seed and returns them ordered by time. */
    public List<FleetFault> drawFaults(long seed) {
        UniformRandomProvider random = new Seeds(seed).stream("faults");
        FleetFault.Kind[] kinds = FleetFault.Kind.values();
        List<FleetFault> faults = new ArrayList<>();
        for (int remaining = 1 + random.nextInt(MAX_FAULTS); remaining > 0; remaining--) {
            FleetFault.Kind kind = kinds[random.nextInt(kinds.length)];
            int target =
                    kind == FleetFault.Kind.PARTITION || kind == FleetFault.Kind.ONE_WAY
                            ? 2 + random.nextInt(2)
                            : random.nextInt(memberCount);
            long value =
                    kind == FleetFault.Kind.WEATHER
                            ? random.nextInt(31)
                            : (long) (200 * Math.pow(300, random.nextDouble()));
            faults.add(new FleetFault(random.nextLong(FAULT_PERIOD_MS), kind, target, value));
        }
        faults.sort(Comparator.comparingLong(FleetFault::atMs));
        return faults;
    }

    /**
     * Runs a fleet with the given faults. The seed determines the random choices of the processes
     * and the network.
     */
    public Outcome run(long seed, List<FleetFault> faults) {
        FleetSim sim = FleetSim.fleet(seed, memberCount);
        InvariantChecker checker = new InvariantChecker(faults);
        sim.setStatusListener(checker::statusChanged);
        sim.startAll();
        sim.runFor(STARTUP_PERIOD_US);
        Partitions partitions = new Partitions();
        sim.setConnectivity(partitions::connects);
        long endMs = 0;
        for (FleetFault fault : faults) {
            sim.scheduleAfter(fault.atMs() * 1000, () -> apply(sim, partitions, fault));
            endMs = Math.max(endMs, fault.endMs());
        }
        sim.runFor(endMs * 1000 + 1);
        // The network becomes reliable before convergence is checked, because updates would stay in
        // transit with a lasting loss of 30 %.
        sim.setNetworkConditions(FleetSim.NetworkConditions.RELIABLE);
        for (int i = 0; i < memberCount; i++) {
            sim.resume(i);
            sim.start(i);
        }
        long convergenceUs =
                sim.runUntil(
                        () -> sim.viewsAgree() && sim.viewsAreAccurate(),
                        CHECK_INTERVAL_US,
                        CONVERGENCE_TIMEOUT_US);
        if (checker.violation == null && convergenceUs < 0) {
            checker.violation =
                    "views do not agree "
                            + CONVERGENCE_TIMEOUT_US / 1_000_000
                            + " s after the last fault";
        }
        return new Outcome(checker.violation, convergenceUs);
    }

    private void apply(FleetSim sim, Partitions partitions, FleetFault fault) {
        long valueUs = fault.value() * 1000;
        int target = fault.target();
        switch (fault.kind()) {
            case KILL -> {
                sim.kill(target);
                sim.scheduleAfter(valueUs, () -> sim.start(target));
            }
            case LEAVE -> {
                sim.leave(target);
                sim.scheduleAfter(Math.max(valueUs, 1_500_000), () -> sim.start(target));
            }
            case STOP -> {
                sim.stop(target);
                sim.scheduleAfter(valueUs, () -> sim.resume(target));
            }
            case JUMP -> sim.jumpClock(target, valueUs);
            case SET_BACK -> {
                sim.kill(target);
                sim.rollBackDisk(target, 2);
                sim.scheduleAfter(valueUs, () -> sim.start(target));
            }
            case PARTITION -> partitions.add(sim, valueUs, (a, b) -> a % target == b % target);
            case ONE_WAY ->
                    partitions.add(sim, valueUs, (a, b) -> a % target != 0 || b % target == 0);
            case WEATHER ->
                    sim.setNetworkConditions(
                            new FleetSim.NetworkConditions(
                                    fault.value() / 100.0, 0.1, 0.1, 200, 2_000));
        }
    }

    /**
     * The partitions that are in effect. They may overlap; a datagram passes only if all of them
     * let it pass.
     */
    private static final class Partitions {
        private final Set<BiPredicate<Integer, Integer>> filters = new HashSet<>();

        void add(FleetSim sim, long durationUs, BiPredicate<Integer, Integer> filter) {
            filters.add(filter);
            sim.scheduleAfter(durationUs, () -> filters.remove(filter));
        }

        boolean connects(int from, int to) {
            return filters.stream().allMatch(filter -> filter.test(from, to));
        }
    }

    /** Checks the invariants that must hold at all times. */
    private final class InvariantChecker {
        private final Set<String> affectedMembers;
        private final boolean networkDivided;
        private final Map<String, Incarnation> lastIncarnations = new HashMap<>();
        private final Map<String, Status> lastStatuses = new HashMap<>();
        private String violation;

        InvariantChecker(List<FleetFault> faults) {
            affectedMembers =
                    faults.stream()
                            .filter(f -> !f.dividesNetwork())
                            .map(f -> "n" + f.target())
                            .collect(Collectors.toSet());
            networkDivided = faults.stream().anyMatch(FleetFault::dividesNetwork);
        }

        void statusChanged(long atUs, int observer, Status before, MemberInfo after) {
            // The view of a process that has just started is empty, so nothing is compared with an
            // earlier run's view.
            String key = observer + " of " + after.name();
            Incarnation known = before == null ? null : lastIncarnations.get(key);
            if (known != null) {
                int order = after.incarnation().compareTo(known);
                if (order < 0
                        || order == 0
                                && after.status().compareTo(lastStatuses.get(key)) <= 0
                                && !after.name().equals("n" + observer)) {
                    report(
                            atUs,
                            key
                                    + " went back from "
                                    + lastStatuses.get(key)
                                    + " "
                                    + known
                                    + " to "
                                    + after.status()
                                    + " "
                                    + after.incarnation());
                }
            }
            lastIncarnations.put(key, after.incarnation());
            lastStatuses.put(key, after.status());
            if (after.status() == Status.FAILED
                    && !networkDivided
                    && !affectedMembers.contains(after.name())) {
                report(atUs, key + ": failed, though nothing happened to it");
            }
        }

        private void report(long atUs, String what) {
            if (violation == null) {
                violation = atUs / 1000 + " ms: " + what;
            }
        }
    }

    /**
     * Removes each fault that is not needed for the run to violate an invariant. Returns the
     * remaining faults.
     */
    public List<FleetFault> shrink(long seed, List<FleetFault> faults) {
        List<FleetFault> needed = new ArrayList<>(faults);
        for (int i = needed.size() - 1; i >= 0; i--) {
            List<FleetFault> fewer = new ArrayList<>(needed);
            fewer.remove(i);
            if (run(seed, fewer).violation() != null) {
                needed = fewer;
            }
        }
        return needed;
    }
}
