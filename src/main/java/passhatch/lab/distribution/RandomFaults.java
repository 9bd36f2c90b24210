package passhatch.lab.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.lab.distribution.Node.DiskMode;

/** Injects random faults until a given time, and then repairs all of them. */
final class RandomFaults {

    private static final long SECOND_US = 1_000_000;
    private static final long MEAN_INTERVAL_US = 700_000;
    private static final long MAX_DURATION_US = 8 * SECOND_US;

    private static final Network.Quality LOSSY = new Network.Quality(0.05, 0.03, 0.02);
    private static final Network.Quality VERY_LOSSY = new Network.Quality(0.3, 0.1, 0.1);
    private static final Network.Quality RELIABLE = new Network.Quality(0, 0, 0);

    private enum Kind {
        KILL,
        KILL_REPLICA,
        PAUSE,
        PAUSE_HOLDER,
        PARTITION_ZONE,
        PARTITION_REGION,
        PARTITION_GROUP,
        BLOCK_ONE_WAY,
        CRASH_DURING_FORCE,
        FAIL_DISK,
        LOSE_DISK,
        COMPACT,
        GRANT_WITHOUT_REVOKING,
        DEGRADE_NETWORK
    }

    private final Simulation simulation;
    private final ConsistencyChecker checker;
    private final SimulatedLease lease;
    private final UniformRandomProvider random;
    private final long endUs;
    private final int maxLostReplicas;
    private final List<Node> replicasWithLostDisks = new ArrayList<>();

    RandomFaults(
            Simulation simulation,
            ConsistencyChecker checker,
            SimulatedLease lease,
            UniformRandomProvider random,
            long endUs) {
        this.simulation = simulation;
        this.checker = checker;
        this.lease = lease;
        this.random = random;
        this.endUs = endUs;
        maxLostReplicas = (simulation.nodes(Role.REPLICA).size() - 1) / 2;
    }

    void start() {
        simulation.network().setQuality(LOSSY);
        simulation.scheduleAt(endUs, this::repairAll);
        injectNext();
    }

    private void injectNext() {
        if (simulation.nowUs() + MEAN_INTERVAL_US >= endUs) {
            return;
        }
        Kind[] kinds = Kind.values();
        inject(kinds[random.nextInt(kinds.length)]);
        simulation.scheduleAfter(random.nextLong(1, 2 * MEAN_INTERVAL_US), this::injectNext);
    }

    private void inject(Kind kind) {
        switch (kind) {
            case KILL -> kill(anyNode());
            case KILL_REPLICA -> kill(anyReplica());
            case PAUSE -> anyNode().pause(randomDurationUs());
            case PAUSE_HOLDER -> pauseHolder();
            case PARTITION_ZONE -> partitionZone();
            case PARTITION_REGION -> partitionRegion();
            case PARTITION_GROUP -> partitionGroup();
            case BLOCK_ONE_WAY -> blockOneWay();
            case CRASH_DURING_FORCE ->
                    crashDuringForce(random.nextBoolean() ? anyReplica() : anyNode());
            case FAIL_DISK -> failDisk(anyNode());
            case LOSE_DISK -> loseDisk(anyNode());
            case COMPACT -> anyNode().compact();
            case GRANT_WITHOUT_REVOKING -> grantWithoutRevoking();
            case DEGRADE_NETWORK -> degradeNetwork();
        }
    }

    private Node anyNode() {
        List<Node> all = new ArrayList<>(simulation.nodes());
        return all.get(random.nextInt(all.size()));
    }

    private Node anyReplica() {
        List<Node> replicas = simulation.nodes(Role.REPLICA);
        return replicas.get(random.nextInt(replicas.size()));
    }

    private long randomDurationUs() {
        return random.nextLong(1, MAX_DURATION_US);
    }

    private void kill(Node node) {
        if (node.isUp()) {
            node.kill();
            restartAfter(node, randomDurationUs());
        }
    }

    private void restartAfter(Node node, long delayUs) {
        simulation.scheduleAfter(
                delayUs,
                () -> {
                    if (!node.isUp() && simulation.nowUs() < endUs) {
                        node.setDiskMode(DiskMode.WORKING);
                        node.start();
                    }
                });
    }

    private void pauseHolder() {
        if (lease.holder() != null) {
            lease.holder().pause(randomDurationUs());
        }
    }

    private void grantWithoutRevoking() {
        Node replica = anyReplica();
        if (replica.isUp() && !replica.isPaused()) {
            lease.grantWithoutRevoking(replica);
        }
    }

    private void crashDuringForce(Node node) {
        node.setDiskMode(random.nextBoolean() ? DiskMode.CRASH_AFTER : DiskMode.CRASH_BEFORE);
        restartAfter(node, randomDurationUs());
    }

    private void failDisk(Node node) {
        node.setDiskMode(DiskMode.FAILING);
        simulation.scheduleAfter(
                randomDurationUs(),
                () -> {
                    if (simulation.nowUs() < endUs) {
                        node.setDiskMode(DiskMode.WORKING);
                        kill(node);
                    }
                });
    }

    private void loseDisk(Node node) {
        boolean isReplica = node.role() == Role.REPLICA;
        if (!node.isUp() || isReplica && replicasWithLostDisks.size() >= maxLostReplicas) {
            return;
        }
        node.kill();
        node.setDisk(List.of());
        if (isReplica && !replicasWithLostDisks.contains(node)) {
            replicasWithLostDisks.add(node);
            checker.recordLostDisk(node);
        }
        restartAfter(node, randomDurationUs());
    }

    private void partitionZone() {
        int zone = anyNode().location().zone();
        blockForAWhile((from, to) -> from.location().zone() == zone ^ to.location().zone() == zone);
    }

    private void partitionRegion() {
        int region = anyNode().location().region();
        blockForAWhile(
                (from, to) ->
                        from.location().region() == region ^ to.location().region() == region);
    }

    private void partitionGroup() {
        List<Node> group = new ArrayList<>(simulation.nodes());
        group.removeIf(node -> random.nextBoolean());
        blockForAWhile((from, to) -> group.contains(from) ^ group.contains(to));
    }

    private void blockOneWay() {
        Node sender = anyNode();
        Node receiver = anyNode();
        boolean allReceivers = random.nextBoolean();
        blockForAWhile((from, to) -> from == sender && (allReceivers || to == receiver));
    }

    private void blockForAWhile(BiPredicate<Node, Node> fromTo) {
        simulation.network().block(fromTo);
        simulation.scheduleAfter(randomDurationUs(), () -> simulation.network().unblock(fromTo));
    }

    private void degradeNetwork() {
        simulation.network().setQuality(VERY_LOSSY);
        simulation.scheduleAfter(
                randomDurationUs(),
                () ->
                        simulation
                                .network()
                                .setQuality(simulation.nowUs() < endUs ? LOSSY : RELIABLE));
    }

    private void repairAll() {
        simulation.network().unblockAll();
        simulation.network().setQuality(RELIABLE);
        for (Node node : simulation.nodes()) {
            boolean diskFailed = node.isUp() && node.participant().diskFailed();
            node.setDiskMode(DiskMode.WORKING);
            if (diskFailed) {
                node.kill();
            }
            node.pause(0);
            if (!node.isUp()) {
                node.start();
            }
        }
    }
}
