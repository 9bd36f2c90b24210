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

/**
 * Counts the traffic of each node, and measures the delay from the creation of a change until the
 * change is in force at a subscriber.
 */
final class DistributionMeter implements Observer {

    /** Total of the datagrams and bytes that a node has sent and received. */
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
    private final Map<Node, TreeMap<Long, ExpectedChange>> expectedChanges = new HashMap<>();
    private final List<Long> delaysUs = new ArrayList<>();

    /**
     * Number of expected changes whose version a later leader assigned to a different change, so
     * that they count as missing. A change counts once for each subscriber.
     */
    private long supersededCount;

    private Clock clock = () -> 0;

    /** Source of the simulated time in microseconds, such as {@link Simulation#nowUs}. */
    interface Clock {
        long nowUs();
    }

    void setClock(Clock clock) {
        this.clock = clock;
    }

    /**
     * Starts to measure the delay until a change is in force at the given subscribers. Leaves out
     * subscribers that are not running or have already reached the change's version.
     *
     * @param createdUs simulated time at which the delay starts
     */
    void expect(String key, long version, long createdUs, List<Node> subscribers) {
        for (Node node : subscribers) {
            if (node.isUp() && node.participant().version() < version) {
                ExpectedChange previous =
                        expectedChanges
                                .computeIfAbsent(node, any -> new TreeMap<>())
                                .put(version, new ExpectedChange(key, createdUs));
                supersededCount += previous == null ? 0 : 1;
            }
        }
    }

    /**
     * Records the delay of each expected change that is now in force at a node. A change is in
     * force if the node holds the changed key at the change's version or at a newer one. It is not
     * sufficient that the node's whole state has reached this version.
     */
    @Override
    public void versionApplied(Node node, long epoch, long version) {
        TreeMap<Long, ExpectedChange> expectedByVersion =
                node.role() == Role.SUBSCRIBER ? expectedChanges.get(node) : null;
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

    /** Clears all counts and expected changes for a new phase. */
    void reset() {
        traffic.clear();
        expectedChanges.clear();
        delaysUs.clear();
        supersededCount = 0;
    }

    /**
     * Returns the number of expected changes that have not come into force. A change counts once
     * for each subscriber at which it is not in force.
     */
    long missingCount() {
        return supersededCount + expectedChanges.values().stream().mapToLong(Map::size).sum();
    }

    long delayCount() {
        return delaysUs.size();
    }

    /** Returns a quantile of the recorded delays in seconds; 0 if no delay has been recorded. */
    double delayQuantileSeconds(double fraction) {
        if (delaysUs.isEmpty()) {
            return 0;
        }
        Collections.sort(delaysUs);
        int index = (int) Math.ceil(fraction * delaysUs.size()) - 1;
        return delaysUs.get(Math.max(0, index)) * 1e-6;
    }
}
