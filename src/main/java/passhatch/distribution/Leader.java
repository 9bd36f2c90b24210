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
 * The leader of the replicas in one term, which appends changes to the log. First, the leader asks
 * the replicas to promise to reject leaders of lower terms, until a majority has promised. Next,
 * the leader adopts the most complete log of this majority. That log contains every committed
 * entry. An entry is committed once a majority has stored it and a majority has stored an entry of
 * this term at the same or a higher version.
 */
final class Leader {

    /** Maximum number of entries that are sent to a replica before the replica confirms them. */
    private static final int MAX_UNCONFIRMED_ENTRIES = 64;

    /**
     * Maximum number of times that a log request is repeated if there is no reply. After that, the
     * leader sends a prepare message to all replicas again.
     */
    private static final int MAX_LOG_REQUEST_RETRIES = 5;

    /**
     * Maximum number of uncommitted entries. While there are this many, the leader rejects changes.
     */
    private static final int MAX_UNCOMMITTED_ENTRIES = 1_024;

    private enum Phase {
        PREPARING,
        ADOPTING,
        LEADING,
        STOPPED
    }

    /** What the leader knows about another replica. */
    private static final class Peer {
        private long matchingVersion;
        private long nextVersion;
        private long lastSendUs;
        private long lastReplyUs = Long.MIN_VALUE / 2;
        private boolean voting;

        /**
         * True until the leader knows up to which entry the replica's log matches the leader's log,
         * and again after the replica has rejected an append. While this is true, appends to the
         * replica contain no entries.
         */
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

    /** Returns whether this leader has stepped down or lost its lease. */
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
            case LEADING -> sendHeartbeats(nowUs);
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
        if (message instanceof Prepared reply && reply.term() == term) {
            onPrepared(nowUs, from, reply);
        } else if (message instanceof LogPart part && part.term() == term) {
            onLogPart(nowUs, from, part);
        } else if (message instanceof Behind behind
                && behind.term() == term
                && phase == Phase.ADOPTING) {
            stepDown("its log lacks entries that other replicas no longer retain");
        } else if (message instanceof Appended reply) {
            onAppended(nowUs, from, reply);
        }
    }

    private void onPrepared(long nowUs, String from, Prepared reply) {
        if (reply.promisedTerm() > term) {
            stepDown("a replica has promised term " + reply.promisedTerm());
        } else if (phase == Phase.PREPARING) {
            preparedReplies.put(from, reply);
            if (preparedReplies.size() + 1 >= settings.majority()) {
                adoptMostComplete(nowUs);
            }
        }
    }

    private void adoptMostComplete(long nowUs) {
        long bestTerm = replica.log().lastTerm();
        long bestVersion = replica.log().lastVersion();
        for (Map.Entry<String, Prepared> other : preparedReplies.entrySet()) {
            Prepared reply = other.getValue();
            boolean moreComplete =
                    reply.lastTerm() > bestTerm
                            || reply.lastTerm() == bestTerm && reply.lastVersion() > bestVersion;
            if (moreComplete) {
                bestTerm = reply.lastTerm();
                bestVersion = reply.lastVersion();
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

    /**
     * Repeats a log request that got no reply. After too many repetitions, sends a prepare message
     * to all replicas again.
     */
    private void retryAdoption(long nowUs) {
        if (++logRequestRetries <= MAX_LOG_REQUEST_RETRIES) {
            requestLog(nowUs);
            return;
        }
        // Preparing again is safe: a replica that still accepts this term has accepted no entries
        // of another leader since it promised this term, and this leader has appended no entries.
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
            stepDown("a write to the disk of this replica failed");
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
            sendHeartbeats(nowUs);
            commitUpToMajority(nowUs);
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
        stepDown("a write to the disk of this replica failed");
        return false;
    }

    /**
     * Appends a change to the log. The change takes effect once {@link
     * DistributionActions#changeCommitted} reports its version. If this leader loses its lease
     * before that, the change may or may not take effect.
     *
     * @param value the new value; null to delete the key
     * @param ifVersion expected version of the key's newest entry; negative to accept any version,
     *     0 to require that the key does not exist
     * @return the version of the change
     * @throws InvalidChangeException if the change is not valid or this leader cannot append it
     */
    long submit(long nowUs, String key, String value, long ifVersion)
            throws InvalidChangeException {
        Setting.check(key, value);
        if (phase != Phase.LEADING) {
            throw new InvalidChangeException("this replica does not lead yet; try again");
        }
        if (replica.log().lastVersion() - replica.state().version() >= MAX_UNCOMMITTED_ENTRIES) {
            throw new InvalidChangeException(
                    "too many changes are waiting for a majority; try again");
        }
        long newestVersion = versionOf(key);
        if (ifVersion >= 0 && ifVersion != newestVersion) {
            throw new InvalidChangeException(
                    key + ": expected version " + ifVersion + ", it has version " + newestVersion);
        }
        long version = replica.log().lastVersion() + 1;
        if (!append(new LogEntry(version, term, key, value))) {
            throw new InvalidChangeException("this replica no longer leads; ask another one");
        }
        peers.forEach((name, peer) -> replicate(nowUs, name, peer, false));
        commitUpToMajority(nowUs);
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

    private void sendHeartbeats(long nowUs) {
        wakeAtUs = nowUs + Timing.HEARTBEAT_INTERVAL_US;
        peers.forEach(
                (name, peer) -> {
                    boolean overdue = nowUs - peer.lastSendUs >= Timing.RETRY_DELAY_US;
                    if (!peer.probing && peer.matchingVersion + 1 < peer.nextVersion && overdue) {
                        peer.nextVersion = peer.matchingVersion + 1;
                    }
                    replicate(nowUs, name, peer, true);
                });
    }

    /**
     * Sends a replica the entries that it lacks, until {@link #MAX_UNCONFIRMED_ENTRIES} entries are
     * unconfirmed.
     *
     * @param always whether to send a message even if there are no entries to send
     */
    private void replicate(long nowUs, String name, Peer peer, boolean always) {
        ReplicatedLog log = replica.log();
        if (peer.nextVersion <= log.baseVersion()) {
            if (always) {
                actions.send(name, new Behind(settings.epoch(), term));
                // The replica rejects such an append until it has fetched the committed state. By
                // accepting an append, the replica shows the leader that it has the state.
                peer.probing = true;
                peer.nextVersion = log.baseVersion() + 1;
                sendAppend(nowUs, name, peer, List.of());
            }
            return;
        }
        boolean sent = false;
        while (!peer.probing
                && peer.nextVersion <= log.lastVersion()
                && peer.nextVersion - peer.matchingVersion <= MAX_UNCONFIRMED_ENTRIES) {
            List<LogEntry> entries =
                    DatagramBudget.fittingPrefix(log.entriesAfter(peer.nextVersion - 1));
            sendAppend(nowUs, name, peer, entries);
            peer.nextVersion += entries.size();
            peer.lastSendUs = nowUs;
            sent = true;
        }
        if (!sent && always) {
            sendAppend(nowUs, name, peer, List.of());
        }
    }

    private void sendAppend(long nowUs, String name, Peer peer, List<LogEntry> entries) {
        long previous = peer.nextVersion - 1;
        actions.send(
                name,
                new Append(
                        settings.epoch(),
                        term,
                        replica.state().version(),
                        Math.max(0, replica.stateAgeUs(nowUs)),
                        previous,
                        replica.log().termAt(previous),
                        List.copyOf(entries)));
    }

    private void onAppended(long nowUs, String from, Appended reply) {
        if (reply.term() > term) {
            stepDown("a replica has promised term " + reply.term());
            return;
        }
        Peer peer = peers.get(from);
        if (phase != Phase.LEADING || reply.term() < term || peer == null) {
            return;
        }
        peer.lastReplyUs = nowUs;
        peer.voting = reply.voting();
        updateLeaderConfirmation();
        if (reply.accepted()) {
            peer.probing = false;
            peer.matchingVersion = Math.max(peer.matchingVersion, reply.version());
            peer.nextVersion = Math.max(peer.nextVersion, peer.matchingVersion + 1);
            commitUpToMajority(nowUs);
            if (phase == Phase.LEADING) {
                replicate(nowUs, from, peer, false);
            }
        } else {
            onAppendRejected(nowUs, from, peer, reply.version());
        }
    }

    private void onAppendRejected(long nowUs, String from, Peer peer, long version) {
        if (!peer.voting) {
            // The replica has lost its disk, including entries that it had confirmed.
            peer.matchingVersion = Math.min(peer.matchingVersion, version);
        }
        if (version + 1 < peer.nextVersion && version >= peer.matchingVersion) {
            peer.probing = true;
            peer.nextVersion = version + 1;
            // If the leader no longer retains the entries, it sends nothing until the next
            // heartbeat, because the replica would only give the same reply again.
            replicate(nowUs, from, peer, peer.nextVersion > replica.log().baseVersion());
        }
    }

    private void updateLeaderConfirmation() {
        List<Long> times = new ArrayList<>();
        peers.values().stream().filter(peer -> peer.voting).forEach(p -> times.add(p.lastReplyUs));
        int needed = settings.majority() - 1;
        if (needed > 0 && times.size() >= needed) {
            times.sort(null);
            replica.recordLeaderConfirmation(times.get(times.size() - needed));
        }
    }

    private void commitUpToMajority(long nowUs) {
        long before = replica.state().version();
        List<Long> matching = new ArrayList<>(List.of(replica.log().lastVersion()));
        peers.values().stream()
                .filter(peer -> peer.voting)
                .forEach(p -> matching.add(p.matchingVersion));
        if (matching.size() < settings.majority()) {
            return;
        }
        matching.sort(null);
        long majorityVersion = matching.get(matching.size() - settings.majority());
        if (majorityVersion <= before || replica.log().termAt(majorityVersion) != term) {
            return;
        }
        if (settings.majority() == 1) {
            replica.recordLeaderConfirmation(nowUs);
        }
        replica.commit(majorityVersion);
        for (long version = before + 1; version <= majorityVersion; version++) {
            actions.changeCommitted(version);
        }
        // The new committed version is sent immediately, so that followers of the other replicas
        // need not wait for the next heartbeat.
        peers.forEach((name, peer) -> replicate(nowUs, name, peer, true));
    }

    /** Stops this leader because its lease has ended. */
    void leaseLost() {
        phase = Phase.STOPPED;
    }

    private void stepDown(String reason) {
        if (phase != Phase.STOPPED) {
            phase = Phase.STOPPED;
            actions.leaderSteppedDown(term, reason);
        }
    }
}
