package passhatch.lab.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
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

    private record Expected(String key, long sinceUs) {}

    private final Map<Node, Traffic> traffic = new HashMap<>();
    private final Map<Node, TreeMap<Long, Expected>> pending = new HashMap<>();
    private final List<Long> delaysUs = new ArrayList<>();
    private long lost;
    private Clock clock = () -> 0;

    /** Simulated time, as {@link Simulation#nowUs}. */
    interface Clock {
        long nowUs();
    }

    void setClock(Clock clock) {
        this.clock = clock;
    }

    /** A change of a key has got a version; these subscribers want it since a time. */
    void expect(String key, long version, long sinceUs, List<Node> subscribers) {
        for (Node node : subscribers) {
            if (node.isUp() && node.participant().version() < version) {
                Expected replaced =
                        pending.computeIfAbsent(node, any -> new TreeMap<>())
                                .put(version, new Expected(key, sinceUs));
                lost += replaced == null ? 0 : 1;
            }
        }
    }

    @Override
    public void inForce(Node node, long epoch, long version) {
        TreeMap<Long, Expected> waiting = node.role() == Role.SUBSCRIBER ? pending.get(node) : null;
        while (waiting != null && !waiting.isEmpty() && waiting.firstKey() <= version) {
            Map.Entry<Long, Expected> next = waiting.pollFirstEntry();
            Expected expected = next.getValue();
            if (node.participant().versionOf(expected.key()) >= next.getKey()) {
                delaysUs.add(clock.nowUs() - expected.sinceUs());
            } else {
                lost++;
            }
        }
    }

    @Override
    public void sent(Node from, int bytes) {
        count(from, bytes);
    }

    @Override
    public void received(Node to, int bytes) {
        count(to, bytes);
    }

    private void count(Node node, int bytes) {
        Traffic of = traffic.computeIfAbsent(node, any -> new Traffic());
        of.bytes += bytes;
        of.datagrams++;
    }

    Traffic of(Node node) {
        return traffic.computeIfAbsent(node, any -> new Traffic());
    }

    /** Begins a new phase. */
    void reset() {
        traffic.clear();
        pending.clear();
        delaysUs.clear();
        lost = 0;
    }

    /** Changes that are not in force yet, summed over the subscribers that want them. */
    long missing() {
        return pending.values().stream().mapToLong(Map::size).sum();
    }

    /** As {@link #missing}, of changes in place of which another one was committed. */
    long lost() {
        return lost;
    }

    long samples() {
        return delaysUs.size();
    }

    /** A quantile of the time from commit to in force, in seconds; 0 where there is no sample. */
    double quantile(double share) {
        if (delaysUs.isEmpty()) {
            return 0;
        }
        Collections.sort(delaysUs);
        int index = (int) Math.ceil(share * delaysUs.size()) - 1;
        return delaysUs.get(Math.max(0, index)) * 1e-6;
    }
}
