package passhatch.lab.distribution;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;
import java.util.stream.Stream;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.InvalidChangeException;
import passhatch.lab.Seeds;

/** A small fleet without random faults except on the network, for tests that script each step. */
final class ScriptedRun {

    static final long SECOND_US = 1_000_000;

    private final ConsistencyChecker checker;
    private final Simulation simulation;
    private final Fleet fleet;
    private long term = Fleet.INITIAL_TERM;
    private BiPredicate<Node, Node> blocked;

    ScriptedRun(int replicas) {
        fleet = new Fleet(new Fleet.Shape(replicas, 2, 4, 8, 40, 4, 30), 1);
        checker = new ConsistencyChecker(fleet.keys());
        Network network =
                new Network(
                        new Seeds(1).stream("network"), 2, new Network.Quality(0.01, 0.01, 0.01));
        simulation = new Simulation(1, network, Simulation.Fidelity.FULL, checker);
        fleet.addNodesTo(simulation);
        checker.preload(Fleet.INITIAL_EPOCH, fleet.initialEntries());
        simulation.setStepDownListener((node, endedTerm) -> node.invoke(p -> p.leaseLost()));
    }

    Fleet fleet() {
        return fleet;
    }

    Simulation simulation() {
        return simulation;
    }

    ConsistencyChecker checker() {
        return checker;
    }

    Node replica(int index) {
        return simulation.nodes(Role.REPLICA).get(index);
    }

    Node relay(int index) {
        return simulation.nodes(Role.RELAY).get(index);
    }

    Node subscriber(int index) {
        return simulation.nodes(Role.SUBSCRIBER).get(index);
    }

    void start() {
        for (Node node : simulation.nodes()) {
            node.setDisk(fleet.initialDisk(node));
            node.start();
        }
    }

    void runFor(int seconds) {
        simulation.runUntil(simulation.nowUs() + seconds * SECOND_US);
    }

    void grantLease(int index) {
        long newTerm = ++term;
        checker.leaseGranted(replica(index));
        replica(index).invoke(p -> p.leaseGranted(simulation.nowUs(), newTerm));
    }

    void makeLeader(int index) {
        grantLease(index);
        runFor(3);
        if (!replica(index).participant().isLeading()) {
            throw new IllegalStateException("does not lead");
        }
    }

    /**
     * Lets a replica exchange datagrams with these replicas only, and the other replicas with none.
     */
    void connectOnly(int index, List<Integer> others) {
        unblock();
        Node replica = replica(index);
        List<Node> peers = others.stream().map(this::replica).toList();
        blocked =
                (from, to) ->
                        Stream.of(from, to).allMatch(n -> n.role() == Role.REPLICA)
                                && !(from == replica && peers.contains(to)
                                        || to == replica && peers.contains(from));
        simulation.network().block(blocked);
    }

    void block(BiPredicate<Node, Node> fromTo) {
        unblock();
        blocked = fromTo;
        simulation.network().block(blocked);
    }

    void unblock() {
        if (blocked != null) {
            simulation.network().unblock(blocked);
        }
    }

    /** Submits a change. Returns its version, or 0 if it was rejected. */
    long submit(int index, String key, String value) {
        AtomicLong version = new AtomicLong();
        replica(index)
                .invoke(
                        p -> {
                            try {
                                version.set(p.submit(simulation.nowUs(), key, value, -1));
                            } catch (InvalidChangeException rejected) {
                                version.set(0);
                            }
                        });
        if (version.get() > 0) {
            checker.recordSubmitted(replica(index), version.get(), key, value);
        }
        return version.get();
    }

    void submitAndRun(int index, String key, String value) {
        submit(index, key, value);
        runFor(3);
    }

    void requireConverged(long epoch) {
        simulation.nodes().stream()
                .filter(Node::isUp)
                .forEach(node -> checker.requireConverged(node, epoch));
    }
}
