package passhatch.lab.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.lab.distribution.Node;
import passhatch.lab.distribution.Observer;
import passhatch.lab.distribution.Simulation;

/** Counts traffic of each node, and the time from a commit to being in force at subscribers. */
final class DistributionMeter implements Observer {

    /** What a node has sent and received. */
    static final class Traffic {
        private long bytes;
        private long datagrams;

        long bytes() {
            return bytes;
        }

        long datagrams() {
            return datagrams;
        }
    }

    private record ExpectedChange(String key, long createdUs) {}

    private final Map<Node, Traffic> traffic = new HashMap<>();
    private final Map<Node, TreeMap<Long, ExpectedChange>> pending = new HashMap<>();
    private final List<Long> delaysUs = new ArrayList<>();

    /** Waited for when another leader gave their version to another change. */
    private long supersededCount;

    private Clock clock = () -> 0;

    /** Simulated time, as {@link Simulation#nowUs}. */
    interface Clock {
        long nowUs();
    }

    void setClock(Clock clock) {
        this.clock = clock;
    }

    /** A change of a key has got a version; these subscribers want it since a time. */
    void expect(String key, long version, long createdUs, List<Node> subscribers) {
        for (Node node : subscribers) {
            if (node.isUp() && node.participant().version() < version) {
                ExpectedChange previous =
                        pending.computeIfAbsent(node, any -> new TreeMap<>())
                                .put(version, new ExpectedChange(key, createdUs));
                supersededCount += previous == null ? 0 : 1;
            }
        }
    }

    /** A change counts once its key has it or a newer one, whatever version the node is at. */
    @Override
    public void inForce(Node node, long epoch, long version) {
        TreeMap<Long, ExpectedChange> expectedByVersion =
                node.role() == Role.SUBSCRIBER ? pending.get(node) : null;
        if (expectedByVersion == null) {
            return;
        }
        Iterator<Map.Entry<Long, ExpectedChange>> iterator =
                expectedByVersion.headMap(version, true).entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Long, ExpectedChange> next = iterator.next();
            ExpectedChange expected = next.getValue();
            if (node.participant().versionOf(expected.key()) >= next.getKey()) {
                delaysUs.add(clock.nowUs() - expected.createdUs());
                iterator.remove();
            }
        }
    }

    @Override
    public void sent(Node from, int bytes) {
        countDatagram(from, bytes);
    }

    @Override
    public void received(Node to, int bytes) {
        countDatagram(to, bytes);
    }

    private void countDatagram(Node node, int bytes) {
        Traffic nodeTraffic = traffic.computeIfAbsent(node, any -> new Traffic());
        nodeTraffic.bytes += bytes;
        nodeTraffic.datagrams++;
    }

    Traffic trafficOf(Node node) {
        return traffic.computeIfAbsent(node, any -> new Traffic());
    }

    /** Begins a new phase. */
    void reset() {
        traffic.clear();
        pending.clear();
        delaysUs.clear();
        supersededCount = 0;
    }

    /** Changes that are not in force yet, summed over the subscribers that want them. */
    long missingCount() {
        return supersededCount + pending.values().stream().mapToLong(Map::size).sum();
    }

    long sampleCount() {
        return delaysUs.size();
    }

    /** A quantile of the time from commit to in force, in seconds; 0 where there is no sample. */
    double quantile(double fraction) {
        if (delaysUs.isEmpty()) {
            return 0;
        }
        Collections.sort(delaysUs);
        int index = (int) Math.ceil(fraction * delaysUs.size()) - 1;
        return delaysUs.get(Math.max(0, index)) * 1e-6;
    }
}
