package passhatch.lab.distribution;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.InvalidChangeException;
import passhatch.lab.Seeds;

/**
 * A simulated run of a small fleet with random configuration changes and random faults. The seed
 * determines the changes and the faults. At the end, all nodes must converge to the same state.
 */
public final class RandomRun {

    private static final long SECOND_US = 1_000_000;
    private static final long FAULT_PERIOD_US = 40 * SECOND_US;
    private static final long CHANGE_PERIOD_US = FAULT_PERIOD_US + 10 * SECOND_US;

    /**
     * Maximum time from the last change until all nodes have the same state; much longer than the
     * lease.
     */
    private static final long CONVERGENCE_TIMEOUT_US = 15 * SECOND_US;

    /** Maximum number of datagrams in a run; several times as many as a run normally sends. */
    private static final long MAX_DATAGRAMS = 400_000;

    private static final long MEAN_CHANGE_INTERVAL_US = 150_000;

    /** Exclusive upper bound on the number of changes in a burst. */
    private static final int BURST_SIZE_BOUND = 60;

    /** On average, one in this many submissions is a burst, which may have several changes. */
    private static final int SUBMISSIONS_PER_BURST = 50;

    /** On average, one in this many changes deletes its key. */
    private static final int CHANGES_PER_DELETION = 6;

    /**
     * The outcome of a run.
     *
     * @param violation description of the invariant that did not hold, or null if all held
     * @param submitted number of changes that a leader accepted
     * @param reported number of changes that were reported as committed
     */
    public record Outcome(long seed, String violation, long submitted, long reported) {}

    private final Fleet fleet;
    private final Simulation simulation;
    private final ConsistencyChecker checker;
    private final SimulatedLease lease;
    private final RandomFaults faults;
    private final UniformRandomProvider random;
    private final List<String> keys;
    private long submitted;
    private long nextValue;

    private RandomRun(long seed) {
        Seeds seeds = new Seeds(seed);
        random = seeds.stream("changes");
        int replicas = 3 + 2 * random.nextInt(3);
        fleet = new Fleet(new Fleet.Shape(replicas, 2, 4, 10, 40, 4, 4 + random.nextInt(37)), seed);
        keys = List.copyOf(fleet.keys());
        checker = new ConsistencyChecker(fleet.keys());
        Network network = new Network(seeds.stream("network"), 2, new Network.Quality(0, 0, 0));
        simulation = new Simulation(seed, network, Simulation.Fidelity.FULL, checker);
        simulation.setMaxDatagrams(MAX_DATAGRAMS);
        fleet.addNodesTo(simulation);
        lease =
                new SimulatedLease(
                        simulation,
                        simulation.nodes(Role.REPLICA),
                        seeds.stream("lease"),
                        Fleet.INITIAL_TERM);
        faults =
                new RandomFaults(
                        simulation, checker, lease, seeds.stream("faults"), FAULT_PERIOD_US);
    }

    /** Runs the simulation for one seed. */
    public static Outcome run(long seed) {
        RandomRun run = new RandomRun(seed);
        String violation = null;
        try {
            run.run();
        } catch (BrokenPromise | IllegalStateException | IllegalArgumentException failure) {
            violation = run.simulation.nowUs() + " us: " + failure;
        } catch (IndexOutOfBoundsException | NullPointerException failure) {
            violation =
                    run.simulation.nowUs()
                            + " us: "
                            + failure
                            + " at "
                            + failure.getStackTrace()[0];
        }
        return new Outcome(seed, violation, run.submitted, run.checker.reportedChanges());
    }

    private void run() {
        checker.preload(Fleet.INITIAL_EPOCH, fleet.initialEntries());
        for (Node node : simulation.nodes()) {
            boolean emptyDisk = node.role() != Role.REPLICA && random.nextBoolean();
            node.setDisk(emptyDisk ? List.of() : fleet.initialDisk(node));
            node.start();
        }
        lease.start();
        faults.start();
        submitChanges();
        simulation.runUntil(CHANGE_PERIOD_US + CONVERGENCE_TIMEOUT_US);
        simulation.nodes().forEach(node -> checker.requireConverged(node, Fleet.INITIAL_EPOCH));
    }

    private void submitChanges() {
        if (simulation.nowUs() >= CHANGE_PERIOD_US) {
            return;
        }
        int changes =
                random.nextInt(SUBMISSIONS_PER_BURST) == 0 ? random.nextInt(BURST_SIZE_BOUND) : 1;
        for (Node node : simulation.nodes(Role.REPLICA)) {
            for (int i = 0; i < changes; i++) {
                if (node.isUp() && !node.isPaused() && node.participant().isLeading()) {
                    submit(node);
                }
            }
        }
        simulation.scheduleAfter(
                random.nextLong(1, 2 * MEAN_CHANGE_INTERVAL_US), this::submitChanges);
    }

    private void submit(Node node) {
        String key = keys.get(random.nextInt(keys.size()));
        String value = random.nextInt(CHANGES_PER_DELETION) == 0 ? null : newValue(key);
        List<Long> versions = new ArrayList<>();
        node.invoke(
                p -> {
                    try {
                        versions.add(p.submit(simulation.nowUs(), key, value, -1));
                    } catch (InvalidChangeException rejected) {
                        // A rejection is allowed at any time: the node may no longer be the leader,
                        // or too many changes may be pending.
                    }
                });
        for (long version : versions) {
            submitted++;
            checker.recordSubmitted(node, version, key, value);
        }
    }

    private String newValue(String key) {
        return key.endsWith("max_attempts") ? Long.toString(1 + nextValue++ % 3) : newLargeValue();
    }

    private String newLargeValue() {
        return Long.toString(1 + nextValue++ % 60_000);
    }
}
