package passhatch.lab.distribution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import passhatch.distribution.ConfigKey;
import passhatch.distribution.DiskRecord;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.LogEntry;

/**
 * Checks at every event what docs/distribution.md promises. It goes by the records that were forced
 * and by what processes say is in force, not by the state machines' own bookkeeping.
 */
public final class ConsistencyChecker implements Observer {

    /** What one process has shown since its start. */
    private static final class Life {
        private long epoch;
        private long version;
        private final Map<String, Long> versionOfKey = new HashMap<>();
    }

    private record Submitted(Node leader, long version) {}

    private final Set<String> keys;
    private final Map<Long, TreeMap<Long, LogEntry>> committed = new HashMap<>();
    private final Map<Node, ReplicaDiskView> disks = new HashMap<>();
    private final Map<Node, Life> lives = new HashMap<>();
    private final Set<Node> lostDisks = new HashSet<>();
    private final Map<Submitted, LogEntry> submitted = new HashMap<>();
    private long reported;

    /** A checker of runs in which only these keys are changed. */
    public ConsistencyChecker(Set<String> keys) {
        this.keys = Set.copyOf(keys);
    }

    /** Entries that are committed when the run begins. */
    public void preload(long epoch, List<LogEntry> entries) {
        entries.forEach(entry -> committed(epoch).put(entry.version(), entry));
    }

    /** The operator has raised the epoch; the log of the most complete replica left goes on. */
    public void raiseEpoch(long from, long to, long upto) {
        committed(to).putAll(committed(from).headMap(upto, true));
    }

    /** A replica's disk is empty from now on. */
    public void diskLost(Node node) {
        lostDisks.add(node);
    }

    /** A change was submitted to a leader and has got a version. */
    public void submitted(Node leader, long version, String key, String value) {
        submitted.put(new Submitted(leader, version), new LogEntry(version, 0, key, value));
    }

    /** How many changes were reported to be made. */
    public long reported() {
        return reported;
    }

    /** The newest committed version of an epoch. */
    public long lastCommitted(long epoch) {
        return committed(epoch).isEmpty() ? 0 : committed(epoch).lastKey();
    }

    /** The value of each key after all committed changes of an epoch. */
    public Map<String, String> committedValues(long epoch) {
        Map<String, String> values = new TreeMap<>();
        for (LogEntry entry : committed(epoch).values()) {
            if (entry.value() == null) {
                values.remove(entry.key());
            } else {
                values.put(entry.key(), entry.value());
            }
        }
        return values;
    }

    private TreeMap<Long, LogEntry> committed(long epoch) {
        return committed.computeIfAbsent(epoch, any -> new TreeMap<>());
    }

    @Override
    public void started(Node node) {
        Life life = new Life();
        life.epoch = node.participant().epoch();
        life.version = node.participant().version();
        lives.put(node, life);
        if (node.role() == Role.REPLICA) {
            ReplicaDiskView view = new ReplicaDiskView();
            node.disk().forEach(view::take);
            disks.put(node, view);
        }
        checkKeys(node, life);
    }

    @Override
    public void forced(Node node, List<DiskRecord> records) {
        for (DiskRecord record : records) {
            if (record instanceof DiskRecord.Applied of) {
                of.entries().forEach(entry -> checkFollowed(node, of.epoch(), entry));
            } else if (record instanceof DiskRecord.Content of) {
                of.entries().forEach(entry -> checkFollowed(node, epochOf(records), entry));
            }
            if (node.role() == Role.REPLICA) {
                takeOfReplica(node, record);
            }
        }
    }

    private static long epochOf(List<DiskRecord> records) {
        return records.get(0) instanceof DiskRecord.Reset of ? of.epoch() : 0;
    }

    private void checkFollowed(Node node, long epoch, LogEntry entry) {
        LogEntry known = committed(epoch).get(entry.version());
        require(entry.equals(known), node, "holds " + entry + "; committed is " + known);
        String service = ConfigKey.serviceOf(entry.key());
        boolean subscribed = service == null || node.settings().services().contains(service);
        require(
                node.role() != Role.SUBSCRIBER || subscribed,
                node,
                "holds " + entry + " of a service that it does not subscribe to");
    }

    private void takeOfReplica(Node node, DiskRecord record) {
        NavigableMap<Long, LogEntry> removed =
                disks.computeIfAbsent(node, any -> new ReplicaDiskView()).take(record);
        for (LogEntry entry : removed.values()) {
            boolean isCommitted =
                    entry.equals(committed(node.settings().epoch()).get(entry.version()));
            require(!isCommitted, node, "drops the committed " + entry);
        }
    }

    @Override
    public void inForce(Node node, long epoch, long version) {
        Life life = lives.get(node);
        require(
                epoch > life.epoch || epoch == life.epoch && version >= life.version,
                node,
                "falls from version " + life.version + " to " + version);
        if (node.role() == Role.REPLICA) {
            checkCommit(node, epoch, life.version, version);
        }
        if (epoch > life.epoch) {
            life.versionOfKey.clear();
        }
        life.epoch = epoch;
        life.version = version;
        checkKeys(node, life);
    }

    private void checkCommit(Node node, long epoch, long before, long version) {
        ReplicaDiskView disk = disks.get(node);
        for (long next = before + 1; next <= version; next++) {
            if (disk.isInBase(next)) {
                continue;
            }
            LogEntry entry = disk.get(next);
            require(entry != null, node, "commits " + next + " without having it on disk");
            LogEntry known = committed(epoch).putIfAbsent(next, entry);
            if (known == null) {
                checkMajority(node, entry);
            } else {
                require(
                        known.equals(entry),
                        node,
                        "commits " + entry + "; elsewhere committed is " + known);
            }
        }
    }

    private void checkMajority(Node node, LogEntry entry) {
        long having = 0;
        for (Map.Entry<Node, ReplicaDiskView> each : disks.entrySet()) {
            if (lostDisks.contains(each.getKey()) || each.getValue().has(entry)) {
                having++;
            }
        }
        int replicas = node.settings().replicas().size();
        require(
                having > replicas / 2,
                node,
                "commits " + entry + ", which " + having + " of " + replicas + " disks have");
    }

    private void checkKeys(Node node, Life life) {
        for (String key : keys) {
            long version = node.participant().versionOf(key);
            Long before = life.versionOfKey.put(key, version);
            require(
                    before == null || version >= before,
                    node,
                    key + " goes from version " + before + " back to " + version);
        }
    }

    @Override
    public void committed(Node node, long version) {
        LogEntry expected = submitted.remove(new Submitted(node, version));
        if (expected == null) {
            return;
        }
        reported++;
        LogEntry entry = committed(node.settings().epoch()).get(version);
        boolean same =
                entry != null
                        && entry.key().equals(expected.key())
                        && Objects.equals(entry.value(), expected.value());
        require(same, node, "reports " + expected + " as made; committed is " + entry);
    }

    /** What was submitted to it in an earlier term may be made or not. */
    @Override
    public void granted(Node leader) {
        submitted.keySet().removeIf(of -> of.leader() == leader);
    }

    /** Checks that a node holds the newest state of the keys that it wants. */
    public void requireConverged(Node node, long epoch) {
        require(node.isUp(), node, "does not run");
        Map<String, String> expected = committedValues(epoch);
        if (node.role() == Role.SUBSCRIBER) {
            expected.keySet().removeIf(key -> !wants(node, key));
        }
        long newest = lastCommitted(epoch);
        require(
                node.participant().epoch() == epoch && node.participant().version() == newest,
                node,
                "has version " + node.participant().version() + " at the end, not " + newest);
        require(
                expected.equals(node.participant().values()),
                node,
                "has " + node.participant().values() + " at the end, not " + expected);
    }

    private static boolean wants(Node node, String key) {
        String service = ConfigKey.serviceOf(key);
        return service == null || node.settings().services().contains(service);
    }

    private static void require(boolean holds, Node node, String otherwise) {
        if (!holds) {
            throw new BrokenPromise(node + " " + otherwise);
        }
    }
}
