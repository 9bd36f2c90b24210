package passhatch.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import passhatch.distribution.Message.Append;
import passhatch.distribution.Message.Appended;
import passhatch.distribution.Message.Behind;
import passhatch.distribution.Message.LogPart;
import passhatch.distribution.Message.LogRequest;
import passhatch.distribution.Message.Prepare;
import passhatch.distribution.Message.Prepared;

/**
 * The process that appends to the log, for one term. It first has a majority of replicas refuse
 * lower terms and takes over the most complete of their logs; every committed entry is in that one.
 * An entry is committed once a majority has it and an entry of this term.
 */
final class Leader {

    /** Entries sent to a replica without being confirmed, at most. */
    private static final int MAX_UNCONFIRMED_ENTRIES = 64;

    /** Requests for a log without an answer before another replica's is looked for. */
    private static final int MAX_LOG_REQUEST_RETRIES = 5;

    /** Uncommitted entries at most; above it changes are refused. */
    private static final int MAX_UNCOMMITTED_ENTRIES = 1_024;

    private enum Phase {
        PREPARING,
        ADOPTING,
        LEADING,
        STOPPED
    }

    /** What the leader knows of another replica. */
    private static final class Peer {
        private long matchingVersion;
        private long nextVersion;
        private long sentUs;
        private long confirmedUs = Long.MIN_VALUE / 2;
        private boolean voting;

        /** Whether it is not known yet up to where its log is the leader's. */
        private boolean probing = true;
    }

    private final DistributionSettings settings;
    private final long term;
    private final Replica replica;
    private final DistributionActions actions;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Prepared> preparedReplies = new HashMap<>();
    private Phase phase = Phase.PREPARING;
    private String adoptedFrom;
    private long adoptedVersion;
    private int logRequestRetries;
    private long wakeAtUs;

    Leader(
            DistributionSettings settings,
            long term,
            Replica replica,
            long nowUs,
            DistributionActions actions) {
        this.settings = settings;
        this.term = term;
        this.replica = replica;
        this.actions = actions;
        if (!replica.isInitialized() || !replica.promise(term)) {
            stepDown("this replica cannot promise term " + term);
            return;
        }
        sendPrepare(nowUs);
        if (settings.majority() == 1) {
            adoptMostComplete(nowUs);
        }
    }

    long term() {
        return term;
    }

    boolean isLeading() {
        return phase == Phase.LEADING;
    }

    /** Whether it has stepped down or lost its lease. */
    boolean isStopped() {
        return phase == Phase.STOPPED;
    }

    long wakeAtUs() {
        return phase == Phase.STOPPED ? Long.MAX_VALUE : wakeAtUs;
    }

    void timer(long nowUs) {
        if (nowUs < wakeAtUs()) {
            return;
        }
        switch (phase) {
            case PREPARING -> sendPrepare(nowUs);
            case ADOPTING -> retryAdoption(nowUs);
            case LEADING -> heartbeat(nowUs);
            case STOPPED -> wakeAtUs = Long.MAX_VALUE;
        }
    }

    private void sendPrepare(long nowUs) {
        wakeAtUs = nowUs + Timing.RETRY_DELAY_US;
        for (String other : settings.otherReplicas()) {
            if (!preparedReplies.containsKey(other)) {
                actions.send(other, new Prepare(settings.epoch(), term));
            }
        }
    }

    void onMessage(long nowUs, String from, Message message) {
        if (phase == Phase.STOPPED || !settings.otherReplicas().contains(from)) {
            return;
        }
        if (replica.promisedTerm() != term) {
            stepDown("this replica has promised term " + replica.promisedTerm());
            return;
        }
        if (message instanceof Prepared of && of.term() == term) {
            onPrepared(nowUs, from, of);
        } else if (message instanceof LogPart of && of.term() == term) {
            onLogPart(nowUs, from, of);
        } else if (message instanceof Behind of && of.term() == term && phase == Phase.ADOPTING) {
            stepDown("its log lacks entries that others no longer keep");
        } else if (message instanceof Appended of) {
            onAppended(nowUs, from, of);
        }
    }

    private void onPrepared(long nowUs, String from, Prepared of) {
        if (of.promisedTerm() > term) {
            stepDown("a replica has promised term " + of.promisedTerm());
        } else if (phase == Phase.PREPARING) {
            preparedReplies.put(from, of);
            if (preparedReplies.size() + 1 >= settings.majority()) {
                adoptMostComplete(nowUs);
            }
        }
    }

    private void adoptMostComplete(long nowUs) {
        long bestTerm = replica.log().lastTerm();
        long bestVersion = replica.log().lastVersion();
        for (Map.Entry<String, Prepared> other : preparedReplies.entrySet()) {
            Prepared of = other.getValue();
            boolean moreComplete =
                    of.lastTerm() > bestTerm
                            || of.lastTerm() == bestTerm && of.lastVersion() > bestVersion;
            if (moreComplete) {
                bestTerm = of.lastTerm();
                bestVersion = of.lastVersion();
                adoptedFrom = other.getKey();
            }
        }
        if (adoptedFrom == null) {
            startLeading(nowUs);
        } else {
            phase = Phase.ADOPTING;
            logRequestRetries = 0;
            adoptedVersion = replica.state().version();
            requestLog(nowUs);
        }
    }

    /** Requests again what did not come; where nothing comes at all, asks all replicas anew. */
    private void retryAdoption(long nowUs) {
        if (++logRequestRetries <= MAX_LOG_REQUEST_RETRIES) {
            requestLog(nowUs);
            return;
        }
        // None has accepted an entry of another leader since, and this one has appended none.
        phase = Phase.PREPARING;
        adoptedFrom = null;
        preparedReplies.clear();
        sendPrepare(nowUs);
    }

    private void requestLog(long nowUs) {
        wakeAtUs = nowUs + Timing.RETRY_DELAY_US;
        actions.send(adoptedFrom, new LogRequest(settings.epoch(), term, adoptedVersion));
    }

    private void onLogPart(long nowUs, String from, LogPart part) {
        boolean expected =
                phase == Phase.ADOPTING
                        && from.equals(adoptedFrom)
                        && part.previousVersion() == adoptedVersion;
        if (!expected) {
            return;
        }
        if (!replica.storeEntries(part.entries())) {
            stepDown("the disk of this replica fails");
            return;
        }
        adoptedVersion = part.previousVersion() + part.entries().size();
        logRequestRetries = 0;
        if (adoptedVersion >= part.lastVersion()) {
            startLeading(nowUs);
        } else {
            requestLog(nowUs);
        }
    }

    private void startLeading(long nowUs) {
        phase = Phase.LEADING;
        long lastVersion = replica.log().lastVersion();
        for (String other : settings.otherReplicas()) {
            Peer peer = new Peer();
            Prepared reply = preparedReplies.get(other);
            peer.nextVersion =
                    1 + (reply == null ? lastVersion : Math.min(lastVersion, reply.lastVersion()));
            peer.nextVersion = Math.max(peer.nextVersion, replica.log().baseVersion() + 1);
            peers.put(other, peer);
        }
        if (append(LogEntry.noOperation(lastVersion + 1, term))) {
            heartbeat(nowUs);
            commit(nowUs);
        }
    }

    private boolean append(LogEntry entry) {
        if (replica.promisedTerm() != term) {
            stepDown("this replica has promised term " + replica.promisedTerm());
            return false;
        }
        if (replica.storeEntries(List.of(entry))) {
            return true;
        }
        stepDown("the disk of this replica fails");
        return false;
    }

    /**
     * Appends a change. It is made once {@link DistributionActions#committed} has told its version;
     * if this leader loses its lease first, it may or may not have been made.
     *
     * @param value null to delete the key
     * @param ifVersion version of the key's newest entry that the change is meant for; negative for
     *     any, 0 for a key that does not exist
     * @return the change's version
     * @throws InvalidChangeException where the change cannot be made
     */
    long submit(long nowUs, String key, String value, long ifVersion)
            throws InvalidChangeException {
        Setting.check(key, value);
        if (phase != Phase.LEADING) {
            throw new InvalidChangeException("this replica does not lead yet; try again");
        }
        if (replica.log().lastVersion() - replica.state().version() >= MAX_UNCOMMITTED_ENTRIES) {
            throw new InvalidChangeException("too many changes wait for a majority; try again");
        }
        long newest = versionOf(key);
        if (ifVersion >= 0 && ifVersion != newest) {
            throw new InvalidChangeException(
                    key + ": expected version " + ifVersion + ", it has version " + newest);
        }
        long version = replica.log().lastVersion() + 1;
        if (!append(new LogEntry(version, term, key, value))) {
            throw new InvalidChangeException("this replica leads no longer; ask another one");
        }
        peers.forEach((name, peer) -> replicate(nowUs, name, peer, false));
        commit(nowUs);
        return version;
    }

    private long versionOf(String key) {
        for (long version = replica.log().lastVersion();
                version > replica.state().version();
                version--) {
            LogEntry entry = replica.log().get(version);
            if (entry.key().equals(key)) {
                return entry.isTombstone() ? 0 : version;
            }
        }
        LogEntry entry = replica.state().entries().get(key);
        return entry == null || entry.isTombstone() ? 0 : entry.version();
    }

    private void heartbeat(long nowUs) {
        wakeAtUs = nowUs + Timing.HEARTBEAT_INTERVAL_US;
        peers.forEach(
                (name, peer) -> {
                    boolean overdue = nowUs - peer.sentUs >= Timing.RETRY_DELAY_US;
                    if (!peer.probing && peer.matchingVersion + 1 < peer.nextVersion && overdue) {
                        peer.nextVersion = peer.matchingVersion + 1;
                    }
                    replicate(nowUs, name, peer, true);
                });
    }

    /** Sends what a replica lacks, as far as the window goes; at least one message if so wished. */
    private void replicate(long nowUs, String name, Peer peer, boolean always) {
        ReplicatedLog log = replica.log();
        if (peer.nextVersion <= log.baseVersion()) {
            if (always) {
                actions.send(name, new Behind(settings.epoch(), term));
                // Refused until the replica has fetched the state; its answer says that it has.
                peer.probing = true;
                peer.nextVersion = log.baseVersion() + 1;
                send(nowUs, name, peer, List.of());
            }
            return;
        }
        boolean sent = false;
        while (!peer.probing
                && peer.nextVersion <= log.lastVersion()
                && peer.nextVersion - peer.matchingVersion <= MAX_UNCONFIRMED_ENTRIES) {
            List<LogEntry> entries = DatagramBudget.fitting(log.after(peer.nextVersion - 1));
            send(nowUs, name, peer, entries);
            peer.nextVersion += entries.size();
            peer.sentUs = nowUs;
            sent = true;
        }
        if (!sent && always) {
            send(nowUs, name, peer, List.of());
        }
    }

    private void send(long nowUs, String name, Peer peer, List<LogEntry> entries) {
        long previous = peer.nextVersion - 1;
        actions.send(
                name,
                new Append(
                        settings.epoch(),
                        term,
                        replica.state().version(),
                        Math.max(0, replica.ageUs(nowUs)),
                        previous,
                        replica.log().termAt(previous),
                        List.copyOf(entries)));
    }

    private void onAppended(long nowUs, String from, Appended of) {
        if (of.term() > term) {
            stepDown("a replica has promised term " + of.term());
            return;
        }
        Peer peer = peers.get(from);
        if (phase != Phase.LEADING || of.term() < term || peer == null) {
            return;
        }
        peer.confirmedUs = nowUs;
        peer.voting = of.voting();
        updateConfirmation();
        if (of.accepted()) {
            peer.probing = false;
            peer.matchingVersion = Math.max(peer.matchingVersion, of.version());
            peer.nextVersion = Math.max(peer.nextVersion, peer.matchingVersion + 1);
            commit(nowUs);
            if (phase == Phase.LEADING) {
                replicate(nowUs, from, peer, false);
            }
        } else {
            onAppendRejected(nowUs, from, peer, of.version());
        }
    }

    private void onAppendRejected(long nowUs, String from, Peer peer, long version) {
        if (!peer.voting) {
            // It has lost its disk, and with it what it had confirmed.
            peer.matchingVersion = Math.min(peer.matchingVersion, version);
        }
        if (version + 1 < peer.nextVersion && version >= peer.matchingVersion) {
            peer.probing = true;
            peer.nextVersion = version + 1;
            // What is no longer kept waits for the next heartbeat: the answer would be the same.
            replicate(nowUs, from, peer, peer.nextVersion > replica.log().baseVersion());
        }
    }

    private void updateConfirmation() {
        List<Long> times = new ArrayList<>();
        peers.values().stream().filter(peer -> peer.voting).forEach(p -> times.add(p.confirmedUs));
        int needed = settings.majority() - 1;
        if (needed > 0 && times.size() >= needed) {
            times.sort(null);
            replica.leaderConfirmed(times.get(times.size() - needed));
        }
    }

    private void commit(long nowUs) {
        long before = replica.state().version();
        List<Long> matching = new ArrayList<>(List.of(replica.log().lastVersion()));
        peers.values().stream()
                .filter(peer -> peer.voting)
                .forEach(p -> matching.add(p.matchingVersion));
        if (matching.size() < settings.majority()) {
            return;
        }
        matching.sort(null);
        long onMajority = matching.get(matching.size() - settings.majority());
        if (onMajority <= before || replica.log().termAt(onMajority) != term) {
            return;
        }
        if (settings.majority() == 1) {
            replica.leaderConfirmed(nowUs);
        }
        replica.commit(onMajority);
        for (long version = before + 1; version <= onMajority; version++) {
            actions.committed(version);
        }
        // At once, so that the other replicas' followers need not wait for a heartbeat.
        peers.forEach((name, peer) -> replicate(nowUs, name, peer, true));
    }

    /** The lease is over. */
    void leaseLost() {
        phase = Phase.STOPPED;
    }

    private void stepDown(String reason) {
        if (phase != Phase.STOPPED) {
            phase = Phase.STOPPED;
            actions.stepDown(term, reason);
        }
    }
}
