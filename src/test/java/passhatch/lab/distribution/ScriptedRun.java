package passhatch.lab.distribution;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;
import java.util.stream.Stream;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.InvalidChangeException;
import passhatch.lab.Seeds;

/** A small fleet without faults by chance, for tests that say what happens. */
final class ScriptedRun {

    static final long SECOND = 1_000_000;

    private final ConsistencyChecker checker;
    private final Simulation simulation;
    private final Fleet fleet;
    private long term = Fleet.FIRST_TERM;
    private BiPredicate<Node, Node> cut;

    ScriptedRun(int replicas) {
        fleet = new Fleet(new Fleet.Shape(replicas, 2, 4, 8, 40, 4, 30), 1);
        checker = new ConsistencyChecker(fleet.keys());
        Network network =
                new Network(
                        new Seeds(1).stream("network"), 2, new Network.Quality(0.01, 0.01, 0.01));
        simulation = new Simulation(1, network, Simulation.Fidelity.FULL, checker);
        fleet.addTo(simulation);
        checker.preload(Fleet.EPOCH, fleet.entries());
        simulation.setOnStepDown((node, ofTerm) -> node.run(p -> p.leaseLost()));
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
            node.setDisk(fleet.diskOf(node));
            node.start();
        }
    }

    void wait(int seconds) {
        simulation.runUntil(simulation.nowUs() + seconds * SECOND);
    }

    void grant(int index) {
        long granted = ++term;
        checker.granted(replica(index));
        replica(index).run(p -> p.leaseGranted(simulation.nowUs(), granted));
    }

    void lead(int index) {
        grant(index);
        wait(3);
        if (!replica(index).participant().isLeading()) {
            throw new IllegalStateException("does not lead");
        }
    }

    /** Lets a replica exchange datagrams with these replicas only, and the others with none. */
    void reachable(int index, List<Integer> others) {
        heal();
        Node one = replica(index);
        List<Node> rest = others.stream().map(this::replica).toList();
        cut =
                (from, to) ->
                        Stream.of(from, to).allMatch(n -> n.role() == Role.REPLICA)
                                && !(from == one && rest.contains(to)
                                        || to == one && rest.contains(from));
        simulation.network().block(cut);
    }

    void cut(BiPredicate<Node, Node> fromTo) {
        heal();
        cut = fromTo;
        simulation.network().block(cut);
    }

    void heal() {
        if (cut != null) {
            simulation.network().unblock(cut);
        }
    }

    /** Submits a change; its version, or 0 where it was refused. */
    long submit(int index, String key, String value) {
        AtomicLong version = new AtomicLong();
        replica(index)
                .run(
                        p -> {
                            try {
                                version.set(p.submit(simulation.nowUs(), key, value, -1));
                            } catch (InvalidChangeException refused) {
                                version.set(0);
                            }
                        });
        if (version.get() > 0) {
            checker.submitted(replica(index), version.get(), key, value);
        }
        return version.get();
    }

    void submitAndWait(int index, String key, String value) {
        submit(index, key, value);
        wait(3);
    }

    void requireConverged(long epoch) {
        simulation.nodes().stream()
                .filter(Node::isUp)
                .forEach(node -> checker.requireConverged(node, epoch));
    }
}
