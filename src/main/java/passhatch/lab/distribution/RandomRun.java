package passhatch.lab.distribution;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.InvalidChangeException;
import passhatch.lab.Seeds;

/** A small fleet with changes and random faults, all by seed, that has to converge afterwards. */
public final class RandomRun {

    private static final long SECOND = 1_000_000;
    private static final long FAULTS_US = 40 * SECOND;
    private static final long CHANGES_US = FAULTS_US + 10 * SECOND;

    /** From the last change to the same state everywhere; longer than the lease by much. */
    private static final long CONVERGENCE_US = 15 * SECOND;

    /** Several times what a run sends. */
    private static final long MOST_DATAGRAMS = 400_000;

    private static final long CHANGE_EVERY_US = 150_000;
    private static final int MOST_IN_A_BURST = 60;
    private static final int BURST_ONE_IN = 50;
    private static final int DELETE_ONE_IN = 6;

    /**
     * What came of a run.
     *
     * @param broken what did not hold, or null
     * @param submitted changes that a leader took
     * @param reported changes that were reported to be made
     */
    public record Outcome(long seed, String broken, long submitted, long reported) {}

    private final Fleet fleet;
    private final Simulation simulation;
    private final ConsistencyChecker checker;
    private final LeaseStandIn lease;
    private final RandomFaults faults;
    private final UniformRandomProvider random;
    private final List<String> keys;
    private long submitted;
    private long next;

    private RandomRun(long seed) {
        Seeds seeds = new Seeds(seed);
        random = seeds.stream("changes");
        int replicas = 3 + 2 * random.nextInt(3);
        fleet = new Fleet(new Fleet.Shape(replicas, 2, 4, 10, 40, 4, 4 + random.nextInt(37)), seed);
        keys = List.copyOf(fleet.keys());
        checker = new ConsistencyChecker(fleet.keys());
        Network network = new Network(seeds.stream("network"), 2, new Network.Quality(0, 0, 0));
        simulation = new Simulation(seed, network, Simulation.Fidelity.FULL, checker);
        simulation.setMostDatagrams(MOST_DATAGRAMS);
        fleet.addTo(simulation);
        lease =
                new LeaseStandIn(
                        simulation,
                        simulation.nodes(Role.REPLICA),
                        seeds.stream("lease"),
                        Fleet.FIRST_TERM);
        faults = new RandomFaults(simulation, checker, lease, seeds.stream("faults"), FAULTS_US);
    }

    /** Runs one seed. */
    public static Outcome play(long seed) {
        RandomRun run = new RandomRun(seed);
        String broken = null;
        try {
            run.play();
        } catch (BrokenPromise | IllegalStateException | IllegalArgumentException fault) {
            broken = run.simulation.nowUs() + " us: " + fault;
        } catch (IndexOutOfBoundsException | NullPointerException fault) {
            broken = run.simulation.nowUs() + " us: " + fault + " at " + fault.getStackTrace()[0];
        }
        return new Outcome(seed, broken, run.submitted, run.checker.reported());
    }

    private void play() {
        checker.preload(Fleet.EPOCH, fleet.entries());
        for (Node node : simulation.nodes()) {
            boolean cold = node.role() != Role.REPLICA && random.nextBoolean();
            node.setDisk(cold ? List.of() : fleet.diskOf(node));
            node.start();
        }
        lease.start();
        faults.start();
        change();
        simulation.runUntil(CHANGES_US + CONVERGENCE_US);
        simulation.nodes().forEach(node -> checker.requireConverged(node, Fleet.EPOCH));
    }

    private void change() {
        if (simulation.nowUs() >= CHANGES_US) {
            return;
        }
        int changes = random.nextInt(BURST_ONE_IN) == 0 ? random.nextInt(MOST_IN_A_BURST) : 1;
        for (Node node : simulation.nodes(Role.REPLICA)) {
            for (int i = 0; i < changes; i++) {
                if (node.isUp() && !node.isPaused() && node.participant().isLeading()) {
                    submit(node);
                }
            }
        }
        simulation.after(random.nextLong(1, 2 * CHANGE_EVERY_US), this::change);
    }

    private void submit(Node node) {
        String key = keys.get(random.nextInt(keys.size()));
        String value = random.nextInt(DELETE_ONE_IN) == 0 ? null : valueOf(key);
        List<Long> versions = new ArrayList<>();
        node.run(
                p -> {
                    try {
                        versions.add(p.submit(simulation.nowUs(), key, value, -1));
                    } catch (InvalidChangeException refused) {
                        // Allowed at any time: it leads no longer, or too many changes wait.
                    }
                });
        for (long version : versions) {
            submitted++;
            checker.submitted(node, version, key, value);
        }
    }

    private String valueOf(String key) {
        return key.endsWith("max_attempts") ? Long.toString(1 + next++ % 3) : unique();
    }

    private String unique() {
        return Long.toString(1 + next++ % 60_000);
    }
}
