package passhatch.distribution;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * A process that takes part in the distribution of changes, as a replica, a relay or a subscriber.
 * This class is not thread-safe. The times passed to its methods must not decrease.
 */
public final class Participant {

    private final DistributionSettings settings;
    private final DistributionActions actions;
    private final Replica replica;
    private final Follower follower;
    private final Source source;
    private final CommittedView view;

    /**
     * Fetches the committed state from the leader while this replica lacks entries that the leader
     * no longer retains; null at all other times.
     */
    private Follower catchUpFollower;

    private final RandomGenerator random;
    private Leader leader;
    private long commitFlushAtUs;
    private long pushedVersion;

    /**
     * Creates a participant from the records on its disk.
     *
     * @param records contents of the disk, in the order in which they were written
     * @throws IllegalArgumentException if the disk has a higher epoch than the settings
     */
    public Participant(
            DistributionSettings settings,
            List<DiskRecord> records,
            long nowUs,
            RandomGenerator random,
            DistributionActions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        boolean isReplica = settings.role() == DistributionSettings.Role.REPLICA;
        replica = isReplica ? new Replica(settings.epoch(), records, actions) : null;
        follower = isReplica ? null : createFollower(records, nowUs);
        view = isReplica ? replica : follower;
        boolean serves = settings.role() != DistributionSettings.Role.SUBSCRIBER;
        source = serves ? new Source(view, actions) : null;
        commitFlushAtUs = nowUs + Timing.COMMIT_FLUSH_INTERVAL_US;
        pushedVersion = view.state().version();
    }

    private Follower createFollower(List<DiskRecord> records, long nowUs) {
        boolean allKeys = settings.role() == DistributionSettings.Role.RELAY;
        ServiceFilter filter =
                allKeys ? ServiceFilter.all() : ServiceFilter.of(settings.services());
        Predicate<String> wantedKeys =
                key -> {
                    String service = ConfigKey.serviceOf(key);
                    return allKeys || service == null || settings.services().contains(service);
                };
        return new Follower(
                settings.name(),
                settings.sources(),
                filter,
                wantedKeys,
                records,
                nowUs,
                random,
                actions);
    }

    /** Returns the time at which the caller has to call {@link #timer}, in microseconds. */
    public long wakeAtUs() {
        long at = follower == null ? commitFlushAtUs : follower.wakeAtUs();
        at = leader == null ? at : Math.min(at, leader.wakeAtUs());
        at = source == null ? at : Math.min(at, source.wakeAtUs());
        return catchUpFollower == null ? at : Math.min(at, catchUpFollower.wakeAtUs());
    }

    /** Performs all actions that are due. */
    public void timer(long nowUs) {
        if (follower != null) {
            follower.timer(nowUs);
        }
        if (catchUpFollower != null) {
            catchUpFollower.timer(nowUs);
        }
        if (leader != null) {
            leader.timer(nowUs);
        }
        if (replica != null && nowUs >= commitFlushAtUs) {
            replica.writeCommittedVersion();
            commitFlushAtUs = nowUs + Timing.COMMIT_FLUSH_INTERVAL_US;
        }
        if (source != null) {
            source.timer(nowUs);
        }
        pushNewChanges(nowUs);
    }

    /** Handles a received message. */
    public void onMessage(long nowUs, String from, Message message) {
        if (message instanceof Message.Poll || message instanceof Message.Ack) {
            if (source != null) {
                source.onMessage(nowUs, from, message);
            }
        } else if (message instanceof Message.Delta || message instanceof Message.SnapshotPart) {
            onSourceMessage(nowUs, from, message);
        } else if (replica != null
                && message.epoch() == settings.epoch()
                && settings.replicas().contains(from)) {
            onReplicaMessage(nowUs, from, message);
        }
        pushNewChanges(nowUs);
    }

    private void onSourceMessage(long nowUs, String from, Message message) {
        if (follower != null && settings.sources().contains(from)) {
            follower.onMessage(nowUs, from, message);
        } else if (catchUpFollower != null && from.equals(catchUpFollower.source())) {
            catchUpFollower.onMessage(nowUs, from, message);
            if (catchUpFollower.epoch() == settings.epoch()) {
                replica.installState(catchUpFollower.state());
            }
        }
    }

    private void onReplicaMessage(long nowUs, String from, Message message) {
        if (message instanceof Message.Append append && isWithinLog(append)) {
            catchUpFollower = null;
        }
        replica.onMessage(nowUs, from, message);
        if (leader != null) {
            leader.onMessage(nowUs, from, message);
        }
        if (message instanceof Message.Behind && (leader == null || leader.isStopped())) {
            catchUpFrom(nowUs, from);
        }
    }

    private boolean isWithinLog(Message.Append append) {
        return append.previousVersion() <= replica.log().lastVersion();
    }

    private void catchUpFrom(long nowUs, String leaderAddress) {
        if (catchUpFollower != null && catchUpFollower.source().equals(leaderAddress)) {
            return;
        }
        // This follower does not write to disk, because the replica writes the state to disk when
        // it installs the state.
        DistributionActions actionsWithoutDisk =
                new DistributionActions() {
                    @Override
                    public void send(String peer, Message message) {
                        actions.send(peer, message);
                    }

                    @Override
                    public boolean force(List<DiskRecord> records) {
                        return true;
                    }
                };
        catchUpFollower =
                new Follower(
                        settings.name(),
                        List.of(leaderAddress),
                        ServiceFilter.all(),
                        key -> true,
                        List.of(),
                        nowUs,
                        random,
                        actionsWithoutDisk);
    }

    private void pushNewChanges(long nowUs) {
        if (source != null && view.state().version() != pushedVersion) {
            pushedVersion = view.state().version();
            source.onStateAdvanced(nowUs);
        }
    }

    /**
     * Starts a leader, because this replica has acquired the lease.
     *
     * @param term fencing token of the lease
     */
    public void leaseGranted(long nowUs, long term) {
        leader = new Leader(settings, term, replica, nowUs, actions);
        pushNewChanges(nowUs);
    }

    /** Stops the leader in this process, because this replica has lost the lease. */
    public void leaseLost() {
        if (leader != null) {
            leader.leaseLost();
            leader = null;
        }
    }

    /**
     * Lets this replica count towards majorities although its disk holds no initialization record.
     * An operator requests this when a log is initialized.
     *
     * @return false if this replica counts towards majorities already, its disk fails, or this
     *     process is not a replica
     */
    public boolean initialize() {
        return replica != null && replica.initialize();
    }

    /**
     * Submits a change to the leader in this process.
     *
     * @param value the new value; null to delete the key
     * @param ifVersion expected version of the key; negative to accept any version, 0 to require
     *     that the key does not exist
     * @return the version of the change; {@link DistributionActions#changeCommitted} reports it
     *     once the change is committed
     * @throws InvalidChangeException if the change is not valid, or this process does not lead
     */
    public long submit(long nowUs, String key, String value, long ifVersion)
            throws InvalidChangeException {
        if (leader == null) {
            throw new InvalidChangeException("this process does not lead; ask another replica");
        }
        long version = leader.submit(nowUs, key, value, ifVersion);
        pushNewChanges(nowUs);
        return version;
    }

    /** Returns whether this process is the leader and accepts changes. */
    public boolean isLeading() {
        return leader != null && leader.isLeading();
    }

    /** Returns whether this process is a replica that counts towards majorities. */
    public boolean isInitialized() {
        return replica != null && replica.isInitialized();
    }

    /**
     * Returns the address of the source that this process currently follows; null if it follows
     * none.
     */
    public String source() {
        Follower following = follower == null ? catchUpFollower : follower;
        return following == null ? null : following.source();
    }

    /** Returns the epoch of the applied state; 0 if no state has been applied yet. */
    public long epoch() {
        return view.epoch();
    }

    /** Returns the version of the applied state. */
    public long version() {
        return view.state().version();
    }

    /** Returns the time since the applied state was last known to be current, in microseconds. */
    public long stateAgeUs(long nowUs) {
        return view.stateAgeUs(nowUs);
    }

    /** Returns the values of the applied state, by key. */
    public Map<String, String> values() {
        Map<String, String> values = new TreeMap<>();
        view.state()
                .entries()
                .forEach(
                        (key, entry) -> {
                            if (!entry.isTombstone()) {
                                values.put(key, entry.value());
                            }
                        });
        return values;
    }

    /**
     * Returns the version of the newest applied entry of a key, which may be a tombstone; 0 if
     * there is none.
     */
    public long versionOf(String key) {
        LogEntry entry = view.state().entries().get(key);
        return entry == null ? 0 : entry.version();
    }

    /**
     * Returns the version that each follower of this process has confirmed, by the name of the
     * follower.
     */
    public Map<String, Long> confirmedVersions() {
        return source == null ? Map.of() : source.confirmedVersions();
    }

    /**
     * Returns whether a write to the disk of this process has failed. A replica confirms nothing
     * after such a failure.
     */
    public boolean diskFailed() {
        return replica == null ? follower.diskFailed() : replica.diskFailed();
    }

    /** Returns records that can replace all records written to disk so far. */
    public List<DiskRecord> snapshotRecords() {
        return replica == null ? follower.snapshotRecords() : replica.snapshotRecords();
    }
}
