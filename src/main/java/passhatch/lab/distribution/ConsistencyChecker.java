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
 * Checks, at every event of a simulation, the invariants that docs/distribution.md states. The
 * checks use the records forced to disk and the versions that processes report as applied, and are
 * independent of the internal state of the state machines.
 */
public final class ConsistencyChecker implements Observer {

    /**
     * The epoch and the version that one process last reported as applied, and the version of each
     * key.
     */
    private static final class AppliedState {
        private long epoch;
        private long version;
        private final Map<String, Long> keyVersions = new HashMap<>();
    }

    private record Submitted(Node leader, long version) {}

    private final Set<String> keys;
    private final Map<Long, TreeMap<Long, LogEntry>> committedByEpoch = new HashMap<>();
    private final Map<Node, ReplicaDiskView> diskViews = new HashMap<>();
    private final Map<Node, AppliedState> appliedStates = new HashMap<>();
    private final Set<Node> nodesWithLostDisks = new HashSet<>();
    private final Map<Submitted, LogEntry> submittedEntries = new HashMap<>();
    private long reportedChanges;

    /** Creates a checker for runs in which only the given keys are changed. */
    public ConsistencyChecker(Set<String> keys) {
        this.keys = Set.copyOf(keys);
    }

    /** Adds entries that are already committed when the run begins. */
    public void preload(long epoch, List<LogEntry> entries) {
        entries.forEach(entry -> committedEntries(epoch).put(entry.version(), entry));
    }

    /**
     * Records that the operator has raised the epoch. The new epoch begins with the log of the most
     * complete remaining replica, up to and including {@code lastVersion}.
     */
    public void recordRaisedEpoch(long from, long to, long lastVersion) {
        committedEntries(to).putAll(committedEntries(from).headMap(lastVersion, true));
    }

    /** Records that a replica's disk has been emptied. */
    public void recordLostDisk(Node node) {
        nodesWithLostDisks.add(node);
    }

    /** Records that a leader has accepted a change and assigned it a version. */
    public void recordSubmitted(Node leader, long version, String key, String value) {
        submittedEntries.put(new Submitted(leader, version), new LogEntry(version, 0, key, value));
    }

    /** Returns how many submitted changes the leaders have reported as committed. */
    public long reportedChanges() {
        return reportedChanges;
    }

    /** Returns the newest committed version of an epoch, or 0 if there is none. */
    public long lastCommitted(long epoch) {
        return committedEntries(epoch).isEmpty() ? 0 : committedEntries(epoch).lastKey();
    }

    /** Returns the value of each key after all committed changes of an epoch. */
    public Map<String, String> committedValues(long epoch) {
        Map<String, String> values = new TreeMap<>();
        for (LogEntry entry : committedEntries(epoch).values()) {
            if (entry.value() == null) {
                values.remove(entry.key());
            } else {
                values.put(entry.key(), entry.value());
            }
        }
        return values;
    }

    private TreeMap<Long, LogEntry> committedEntries(long epoch) {
        return committedByEpoch.computeIfAbsent(epoch, any -> new TreeMap<>());
    }

    @Override
    public void started(Node node) {
        AppliedState state = new AppliedState();
        state.epoch = node.participant().epoch();
        state.version = node.participant().version();
        appliedStates.put(node, state);
        if (node.role() == Role.REPLICA) {
            ReplicaDiskView view = new ReplicaDiskView();
            node.disk().forEach(view::apply);
            diskViews.put(node, view);
        }
        checkKeyVersions(node, state);
    }

    @Override
    public void recordsForced(Node node, List<DiskRecord> records) {
        for (DiskRecord record : records) {
            if (record instanceof DiskRecord.Applied content) {
                content.entries()
                        .forEach(entry -> checkFollowerEntry(node, content.epoch(), entry));
            } else if (record instanceof DiskRecord.Content content) {
                content.entries()
                        .forEach(entry -> checkFollowerEntry(node, epochOfReset(records), entry));
            }
            if (node.role() == Role.REPLICA) {
                applyToDiskView(node, record);
            }
        }
    }

    private static long epochOfReset(List<DiskRecord> records) {
        return records.get(0) instanceof DiskRecord.Reset reset ? reset.epoch() : 0;
    }

    private void checkFollowerEntry(Node node, long epoch, LogEntry entry) {
        LogEntry known = committedEntries(epoch).get(entry.version());
        require(entry.equals(known), node, "holds " + entry + "; committed is " + known);
        String service = ConfigKey.serviceOf(entry.key());
        boolean subscribed = service == null || node.settings().services().contains(service);
        require(
                node.role() != Role.SUBSCRIBER || subscribed,
                node,
                "holds " + entry + " of a service that it does not subscribe to");
    }

    private void applyToDiskView(Node node, DiskRecord record) {
        NavigableMap<Long, LogEntry> removed =
                diskViews.computeIfAbsent(node, any -> new ReplicaDiskView()).apply(record);
        for (LogEntry entry : removed.values()) {
            boolean isCommitted =
                    entry.equals(committedEntries(node.settings().epoch()).get(entry.version()));
            require(!isCommitted, node, "drops the committed " + entry);
        }
    }

    @Override
    public void versionApplied(Node node, long epoch, long version) {
        AppliedState state = appliedStates.get(node);
        require(
                epoch > state.epoch || epoch == state.epoch && version >= state.version,
                node,
                "falls from version " + state.version + " to " + version);
        if (node.role() == Role.REPLICA) {
            checkCommits(node, epoch, state.version, version);
        }
        if (epoch > state.epoch) {
            state.keyVersions.clear();
        }
        state.epoch = epoch;
        state.version = version;
        checkKeyVersions(node, state);
    }

    private void checkCommits(Node node, long epoch, long previousVersion, long version) {
        ReplicaDiskView disk = diskViews.get(node);
        for (long next = previousVersion + 1; next <= version; next++) {
            if (disk.isInBase(next)) {
                continue;
            }
            LogEntry entry = disk.get(next);
            require(entry != null, node, "commits " + next + " without having it on disk");
            LogEntry known = committedEntries(epoch).putIfAbsent(next, entry);
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
        long holders = 0;
        for (Map.Entry<Node, ReplicaDiskView> each : diskViews.entrySet()) {
            if (nodesWithLostDisks.contains(each.getKey()) || each.getValue().hasEntry(entry)) {
                holders++;
            }
        }
        int replicas = node.settings().replicas().size();
        require(
                holders > replicas / 2,
                node,
                "commits " + entry + ", which " + holders + " of " + replicas + " disks have");
    }

    private void checkKeyVersions(Node node, AppliedState state) {
        for (String key : keys) {
            long version = node.participant().versionOf(key);
            Long previous = state.keyVersions.put(key, version);
            require(
                    previous == null || version >= previous,
                    node,
                    key + " goes from version " + previous + " back to " + version);
        }
    }

    @Override
    public void commitReported(Node node, long version) {
        LogEntry expected = submittedEntries.remove(new Submitted(node, version));
        if (expected == null) {
            return;
        }
        reportedChanges++;
        LogEntry entry = committedEntries(node.settings().epoch()).get(version);
        boolean same =
                entry != null
                        && entry.key().equals(expected.key())
                        && Objects.equals(entry.value(), expected.value());
        require(same, node, "reports " + expected + " as made; committed is " + entry);
    }

    /**
     * Forgets the changes submitted to this leader in an earlier term, because their outcome is
     * unknown.
     */
    @Override
    public void leaseGranted(Node leader) {
        submittedEntries.keySet().removeIf(change -> change.leader() == leader);
    }

    /**
     * Requires that a node runs and has the newest committed value of each key that it should hold.
     * A subscriber should hold the keys of its services and of the whole fleet; any other node
     * should hold all keys.
     */
    public void requireConverged(Node node, long epoch) {
        require(node.isUp(), node, "does not run");
        Map<String, String> expected = committedValues(epoch);
        if (node.role() == Role.SUBSCRIBER) {
            expected.keySet().removeIf(key -> !subscribesTo(node, key));
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

    private static boolean subscribesTo(Node node, String key) {
        String service = ConfigKey.serviceOf(key);
        return service == null || node.settings().services().contains(service);
    }

    private static void require(boolean condition, Node node, String violation) {
        if (!condition) {
            throw new BrokenPromise(node + " " + violation);
        }
    }
}
