package passhatch.distribution;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * One process's part in the distribution of changes. For one thread; the clock passed in must not
 * go back.
 */
public final class Participant {

    private final DistributionSettings settings;
    private final DistributionActions actions;
    private final Replica replica;
    private final Follower follower;
    private final Source source;
    private final CommittedView view;

    /** Of a replica that lacks entries which the leader no longer keeps; null otherwise. */
    private Follower catchUp;

    private final RandomGenerator random;
    private Leader leader;
    private long flushAtUs;
    private long pushedVersion;

    /**
     * A participant that starts.
     *
     * @param records what its disk has, in the order written
     * @throws IllegalArgumentException where the disk has a higher epoch than the settings
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
        follower = isReplica ? null : follower(records, nowUs);
        view = isReplica ? replica : follower;
        boolean serves = settings.role() != DistributionSettings.Role.SUBSCRIBER;
        source = serves ? new Source(view, actions) : null;
        flushAtUs = nowUs + Timing.COMMIT_FLUSH_INTERVAL_US;
        pushedVersion = view.state().version();
    }

    private Follower follower(List<DiskRecord> records, long nowUs) {
        boolean all = settings.role() == DistributionSettings.Role.RELAY;
        ServiceFilter filter = all ? ServiceFilter.all() : ServiceFilter.of(settings.services());
        Predicate<String> wanted =
                key -> {
                    String service = ConfigKey.serviceOf(key);
                    return all || service == null || settings.services().contains(service);
                };
        return new Follower(
                settings.name(),
                settings.sources(),
                filter,
                wanted,
                records,
                nowUs,
                random,
                actions);
    }

    /** When {@link #timer} has to be called. */
    public long wakeAtUs() {
        long at = follower == null ? flushAtUs : follower.wakeAtUs();
        at = leader == null ? at : Math.min(at, leader.wakeAtUs());
        at = source == null ? at : Math.min(at, source.wakeAtUs());
        return catchUp == null ? at : Math.min(at, catchUp.wakeAtUs());
    }

    /** Does what is due. */
    public void timer(long nowUs) {
        if (follower != null) {
            follower.timer(nowUs);
        }
        if (catchUp != null) {
            catchUp.timer(nowUs);
        }
        if (leader != null) {
            leader.timer(nowUs);
        }
        if (replica != null && nowUs >= flushAtUs) {
            replica.flush();
            flushAtUs = nowUs + Timing.COMMIT_FLUSH_INTERVAL_US;
        }
        if (source != null) {
            source.timer(nowUs);
        }
        pushIfAdvanced(nowUs);
    }

    /** A message that arrived. */
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
        pushIfAdvanced(nowUs);
    }

    private void onSourceMessage(long nowUs, String from, Message message) {
        if (follower != null && settings.sources().contains(from)) {
            follower.onMessage(nowUs, from, message);
        } else if (catchUp != null && from.equals(catchUp.source())) {
            catchUp.onMessage(nowUs, from, message);
            if (catchUp.epoch() == settings.epoch()) {
                replica.install(catchUp.state());
            }
        }
    }

    private void onReplicaMessage(long nowUs, String from, Message message) {
        if (message instanceof Message.Append of && isWithinLog(of)) {
            catchUp = null;
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
        if (catchUp != null && catchUp.source().equals(leaderAddress)) {
            return;
        }
        // What it writes is written again, as the replica's own, when it is installed.
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
        catchUp =
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

    private void pushIfAdvanced(long nowUs) {
        if (source != null && view.state().version() != pushedVersion) {
            pushedVersion = view.state().version();
            source.onStateAdvanced(nowUs);
        }
    }

    /** This replica has the lease, with its fencing token as the term. */
    public void leaseGranted(long nowUs, long term) {
        leader = new Leader(settings, term, replica, nowUs, actions);
        pushIfAdvanced(nowUs);
    }

    /** It has the lease no more. */
    public void leaseLost() {
        if (leader != null) {
            leader.leaseLost();
            leader = null;
        }
    }

    /** Lets a replica with an empty disk count towards majorities, when a log is founded. */
    public boolean initialize() {
        return replica != null && replica.initialize();
    }

    /**
     * Submits a change to this leader.
     *
     * @param value null to delete the key
     * @param ifVersion version of the key that the change is meant for; negative for any, 0 for a
     *     key that does not exist
     * @return its version, with which {@link DistributionActions#committed} tells that it is made
     * @throws InvalidChangeException where it is not valid, or this process does not lead
     */
    public long submit(long nowUs, String key, String value, long ifVersion)
            throws InvalidChangeException {
        if (leader == null) {
            throw new InvalidChangeException("this process does not lead; ask another replica");
        }
        long version = leader.submit(nowUs, key, value, ifVersion);
        pushIfAdvanced(nowUs);
        return version;
    }

    /** Whether it leads and takes changes. */
    public boolean isLeading() {
        return leader != null && leader.isLeading();
    }

    /** Whether this replica counts towards majorities; false for other roles. */
    public boolean isInitialized() {
        return replica != null && replica.isInitialized();
    }

    /** The source that is followed just now; null where there is none. */
    public String source() {
        Follower following = follower == null ? catchUp : follower;
        return following == null ? null : following.source();
    }

    /** The epoch of the state in force here; 0 where there is none yet. */
    public long epoch() {
        return view.epoch();
    }

    /** The version in force here. */
    public long version() {
        return view.state().version();
    }

    /** How long ago the state was known to be current, in microseconds. */
    public long ageUs(long nowUs) {
        return view.ageUs(nowUs);
    }

    /** The values in force here, by key. */
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

    /** The version of the newest entry of a key; 0 where there is none. */
    public long versionOf(String key) {
        LogEntry entry = view.state().entries().get(key);
        return entry == null ? 0 : entry.version();
    }

    /** Names of those that follow this process, with the version that each has confirmed. */
    public Map<String, Long> confirmedVersions() {
        return source == null ? Map.of() : source.confirmedVersions();
    }

    /** Whether a write to its disk has failed; a replica confirms nothing more then. */
    public boolean diskFailed() {
        return replica == null ? follower.diskFailed() : replica.diskFailed();
    }

    /** All that its disk needs to have, in place of what was written so far. */
    public List<DiskRecord> snapshot() {
        return replica == null ? follower.snapshot() : replica.snapshot();
    }
}
