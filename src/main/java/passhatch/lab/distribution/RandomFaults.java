package passhatch.lab.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.lab.distribution.Node.DiskMode;

/** Draws faults for a while, and mends all of them at its end. */
final class RandomFaults {

    private static final long SECOND = 1_000_000;
    private static final long EVERY_US = 700_000;
    private static final long LONGEST_US = 8 * SECOND;

    private static final Network.Quality BAD = new Network.Quality(0.05, 0.03, 0.02);
    private static final Network.Quality WORSE = new Network.Quality(0.3, 0.1, 0.1);
    private static final Network.Quality GOOD = new Network.Quality(0, 0, 0);

    private enum Kind {
        KILL,
        KILL_REPLICA,
        PAUSE,
        PAUSE_HOLDER,
        CUT_ZONE,
        CUT_REGION,
        CUT_GROUP,
        CUT_ONE_WAY,
        CRASH_IN_FORCE,
        FAIL_DISK,
        LOSE_DISK,
        COMPACT,
        GRANT_BESIDES,
        WORSE_NETWORK
    }

    private final Simulation simulation;
    private final ConsistencyChecker checker;
    private final LeaseStandIn lease;
    private final UniformRandomProvider random;
    private final long untilUs;
    private final int mostLostReplicas;
    private final List<Node> lost = new ArrayList<>();

    RandomFaults(
            Simulation simulation,
            ConsistencyChecker checker,
            LeaseStandIn lease,
            UniformRandomProvider random,
            long untilUs) {
        this.simulation = simulation;
        this.checker = checker;
        this.lease = lease;
        this.random = random;
        this.untilUs = untilUs;
        mostLostReplicas = (simulation.nodes(Role.REPLICA).size() - 1) / 2;
    }

    void start() {
        simulation.network().setQuality(BAD);
        simulation.at(untilUs, this::mend);
        next();
    }

    private void next() {
        if (simulation.nowUs() + EVERY_US >= untilUs) {
            return;
        }
        Kind[] kinds = Kind.values();
        inject(kinds[random.nextInt(kinds.length)]);
        simulation.after(random.nextLong(1, 2 * EVERY_US), this::next);
    }

    private void inject(Kind kind) {
        switch (kind) {
            case KILL -> kill(any());
            case KILL_REPLICA -> kill(anyReplica());
            case PAUSE -> any().pause(duration());
            case PAUSE_HOLDER -> pauseHolder();
            case CUT_ZONE -> cutZone();
            case CUT_REGION -> cutRegion();
            case CUT_GROUP -> cutGroup();
            case CUT_ONE_WAY -> cutOneWay();
            case CRASH_IN_FORCE -> crashInForce(random.nextBoolean() ? anyReplica() : any());
            case FAIL_DISK -> failDisk(any());
            case LOSE_DISK -> loseDisk(any());
            case COMPACT -> any().compact();
            case GRANT_BESIDES -> grantBesides();
            case WORSE_NETWORK -> worseNetwork();
        }
    }

    private Node any() {
        List<Node> all = new ArrayList<>(simulation.nodes());
        return all.get(random.nextInt(all.size()));
    }

    private Node anyReplica() {
        List<Node> replicas = simulation.nodes(Role.REPLICA);
        return replicas.get(random.nextInt(replicas.size()));
    }

    private long duration() {
        return random.nextLong(1, LONGEST_US);
    }

    private void kill(Node node) {
        if (node.isUp()) {
            node.kill();
            restartAfter(node, duration());
        }
    }

    private void restartAfter(Node node, long us) {
        simulation.after(
                us,
                () -> {
                    if (!node.isUp() && simulation.nowUs() < untilUs) {
                        node.setDiskMode(DiskMode.WORKING);
                        node.start();
                    }
                });
    }

    private void pauseHolder() {
        if (lease.holder() != null) {
            lease.holder().pause(duration());
        }
    }

    private void grantBesides() {
        Node replica = anyReplica();
        if (replica.isUp() && !replica.isPaused()) {
            lease.grantBesides(replica);
        }
    }

    private void crashInForce(Node node) {
        node.setDiskMode(random.nextBoolean() ? DiskMode.CRASH_AFTER : DiskMode.CRASH_BEFORE);
        restartAfter(node, duration());
    }

    private void failDisk(Node node) {
        node.setDiskMode(DiskMode.FAILING);
        simulation.after(
                duration(),
                () -> {
                    if (simulation.nowUs() < untilUs) {
                        node.setDiskMode(DiskMode.WORKING);
                        kill(node);
                    }
                });
    }

    private void loseDisk(Node node) {
        boolean isReplica = node.role() == Role.REPLICA;
        if (!node.isUp() || isReplica && lost.size() >= mostLostReplicas) {
            return;
        }
        node.kill();
        node.setDisk(List.of());
        if (isReplica && !lost.contains(node)) {
            lost.add(node);
            checker.diskLost(node);
        }
        restartAfter(node, duration());
    }

    private void cutZone() {
        int zone = any().location().zone();
        cut((from, to) -> from.location().zone() == zone ^ to.location().zone() == zone);
    }

    private void cutRegion() {
        int region = any().location().region();
        cut((from, to) -> from.location().region() == region ^ to.location().region() == region);
    }

    private void cutGroup() {
        List<Node> group = new ArrayList<>(simulation.nodes());
        group.removeIf(node -> random.nextBoolean());
        cut((from, to) -> group.contains(from) ^ group.contains(to));
    }

    private void cutOneWay() {
        Node sender = any();
        Node receiver = any();
        boolean all = random.nextBoolean();
        cut((from, to) -> from == sender && (all || to == receiver));
    }

    private void cut(BiPredicate<Node, Node> fromTo) {
        simulation.network().block(fromTo);
        simulation.after(duration(), () -> simulation.network().unblock(fromTo));
    }

    private void worseNetwork() {
        simulation.network().setQuality(WORSE);
        simulation.after(
                duration(),
                () -> simulation.network().setQuality(simulation.nowUs() < untilUs ? BAD : GOOD));
    }

    private void mend() {
        simulation.network().unblockAll();
        simulation.network().setQuality(GOOD);
        for (Node node : simulation.nodes()) {
            boolean broken = node.isUp() && node.participant().diskFailed();
            node.setDiskMode(DiskMode.WORKING);
            if (broken) {
                node.kill();
            }
            node.pause(0);
            if (!node.isUp()) {
                node.start();
            }
        }
    }
}
