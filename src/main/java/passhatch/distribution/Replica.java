package passhatch.distribution;

import java.util.ArrayList;
import java.util.List;
import passhatch.distribution.Message.Append;
import passhatch.distribution.Message.Appended;
import passhatch.distribution.Message.Behind;
import passhatch.distribution.Message.LogPart;
import passhatch.distribution.Message.LogRequest;
import passhatch.distribution.Message.Prepare;
import passhatch.distribution.Message.Prepared;

/**
 * One replica of the log. Entries are appended as in Raft (Ongaro and Ousterhout, 2014): a replica
 * appends entries only after an entry that the leader has as well, and writes them to disk before
 * it confirms them. Unlike in Raft, replicas do not elect the leader: the holder of a lease is the
 * leader, and its term is the fencing token of the lease. A replica rejects a leader whose term is
 * lower than the term that the replica has promised.
 */
final class Replica implements CommittedView {

    /**
     * Minimum number of committed entries to retain, so that a replica that was unreachable can
     * catch up from the log.
     */
    private static final int MIN_RETAINED_ENTRIES = 1_024;

    private static final int MAX_TOMBSTONES = 4_096;

    private final long epoch;
    private final DistributionActions actions;
    private final ReplicatedLog log = new ReplicatedLog();
    private final ConfigState state = new ConfigState(MAX_TOMBSTONES);
    private boolean initialized;
    private boolean diskFailed;
    private long promisedTerm;
    private long committedVersionOnDisk;
    private long leaderConfirmedUs = Long.MIN_VALUE / 2;
    private long reportedStateAgeUs;

    Replica(long epoch, List<DiskRecord> records, DistributionActions actions) {
        this.epoch = epoch;
        this.actions = actions;
        long epochOnDisk = 0;
        for (DiskRecord record : records) {
            replay(record);
            if (record instanceof DiskRecord.Initialized initialization) {
                epochOnDisk = initialization.epoch();
            }
        }
        if (epochOnDisk > epoch) {
            throw new IllegalArgumentException(
                    "the disk has epoch " + epochOnDisk + ", the configuration " + epoch);
        }
        initialized = epochOnDisk == epoch;
        committedVersionOnDisk = state.version();
        if (epochOnDisk > 0 && !initialized) {
            // The disk is intact, so no promise is lost, and the replica may count towards
            // majorities in the new epoch as well.
            initialize();
        }
    }

    private void replay(DiskRecord record) {
        if (record instanceof DiskRecord.Promised promise) {
            promisedTerm = Math.max(promisedTerm, promise.term());
        } else if (record instanceof DiskRecord.Appended appended) {
            log.truncateAfter(appended.entry().version() - 1);
            log.append(appended.entry());
        } else if (record instanceof DiskRecord.Committed committed) {
            applyUpTo(committed.version());
        } else if (record instanceof DiskRecord.Reset reset) {
            state.reset(reset.version(), reset.versionTerm(), reset.minDeltaVersion());
            log.reset(reset.version(), reset.versionTerm());
        } else if (record instanceof DiskRecord.Content content) {
            content.entries().forEach(state::putIfNewer);
        }
    }

    /** Returns records that can replace all records written to disk so far. */
    List<DiskRecord> snapshotRecords() {
        List<DiskRecord> records = new ArrayList<>();
        if (initialized) {
            records.add(new DiskRecord.Initialized(epoch));
        }
        records.add(new DiskRecord.Promised(epoch, promisedTerm));
        records.add(
                new DiskRecord.Reset(
                        epoch, state.version(), state.term(), state.minDeltaVersion()));
        state.entries().values().forEach(e -> records.add(new DiskRecord.Content(List.of(e))));
        log.entriesAfter(state.version())
                .forEach(e -> records.add(new DiskRecord.Appended(epoch, e)));
        return records;
    }

    /**
     * Lets this replica count towards majorities although its disk holds no initialization record.
     * An operator requests this once, when the log is initialized.
     *
     * @return false if this replica counts towards majorities already, or its disk fails
     */
    boolean initialize() {
        if (initialized || !force(List.of(new DiskRecord.Initialized(epoch)))) {
            return false;
        }
        initialized = true;
        return true;
    }

    boolean isInitialized() {
        return initialized;
    }

    boolean diskFailed() {
        return diskFailed;
    }

    long promisedTerm() {
        return promisedTerm;
    }

    ReplicatedLog log() {
        return log;
    }

    @Override
    public long epoch() {
        return epoch;
    }

    @Override
    public ConfigState state() {
        return state;
    }

    @Override
    public long stateAgeUs(long nowUs) {
        return nowUs - leaderConfirmedUs + reportedStateAgeUs;
    }

    /** Records the time at which a majority confirmed the leader in this process. */
    void recordLeaderConfirmation(long atUs) {
        leaderConfirmedUs = atUs;
        reportedStateAgeUs = 0;
    }

    void onMessage(long nowUs, String from, Message message) {
        if (message instanceof Prepare prepare) {
            onPrepare(from, prepare);
        } else if (message instanceof LogRequest request) {
            onLogRequest(from, request);
        } else if (message instanceof Append append) {
            onAppend(nowUs, from, append);
        }
    }

    private void onPrepare(String from, Prepare prepare) {
        if (!initialized || prepare.term() > promisedTerm && !promise(prepare.term())) {
            return;
        }
        actions.send(
                from,
                new Prepared(
                        epoch,
                        prepare.term(),
                        promisedTerm,
                        log.lastVersion(),
                        log.lastTerm(),
                        state.version()));
    }

    /**
     * Promises to accept no leader of a lower term.
     *
     * @return false if this replica has promised a higher term, or the promise cannot be written to
     *     disk
     */
    boolean promise(long term) {
        if (term < promisedTerm || !force(List.of(new DiskRecord.Promised(epoch, term)))) {
            return false;
        }
        promisedTerm = term;
        return true;
    }

    private void onLogRequest(String from, LogRequest request) {
        if (request.term() != promisedTerm) {
            return;
        }
        if (request.afterVersion() < log.baseVersion()) {
            actions.send(from, new Behind(epoch, request.term()));
        } else if (request.afterVersion() <= log.lastVersion()) {
            actions.send(
                    from,
                    new LogPart(
                            epoch,
                            request.term(),
                            request.afterVersion(),
                            log.termAt(request.afterVersion()),
                            log.lastVersion(),
                            DatagramBudget.fittingPrefix(
                                    log.entriesAfter(request.afterVersion()))));
        }
    }

    private void onAppend(long nowUs, String from, Append append) {
        if (append.term() > promisedTerm && !promise(append.term())) {
            return;
        }
        if (append.term() < promisedTerm) {
            actions.send(
                    from, new Appended(epoch, promisedTerm, false, log.lastVersion(), initialized));
            return;
        }
        if (!matchesLog(append.previousVersion(), append.previousTerm())) {
            long retryAfter =
                    Math.max(
                            state.version(),
                            Math.min(log.lastVersion(), append.previousVersion() - 1));
            actions.send(from, new Appended(epoch, append.term(), false, retryAfter, initialized));
            return;
        }
        if (!storeEntries(append.entries())) {
            return;
        }
        long matching = append.previousVersion() + append.entries().size();
        commit(Math.min(append.committedVersion(), matching));
        if (state.version() >= append.committedVersion()) {
            leaderConfirmedUs = nowUs;
            reportedStateAgeUs = append.stateAgeUs();
        }
        actions.send(from, new Appended(epoch, append.term(), true, matching, initialized));
    }

    /**
     * Returns whether this replica's log and the leader's log are identical up to an entry.
     * Committed entries are identical on all replicas.
     *
     * @param version version of the entry
     * @param term term of the entry in the leader's log
     */
    private boolean matchesLog(long version, long term) {
        return version <= state.version()
                || version <= log.lastVersion() && log.termAt(version) == term;
    }

    /**
     * Stores entries of the leader in this replica's log. Entries of the log that differ from the
     * leader's entries are replaced.
     *
     * @return false if the entries cannot be written to disk
     */
    boolean storeEntries(List<LogEntry> entries) {
        List<LogEntry> missing = new ArrayList<>();
        for (LogEntry entry : entries) {
            boolean known =
                    entry.version() <= state.version()
                            || missing.isEmpty()
                                    && entry.version() <= log.lastVersion()
                                    && log.termAt(entry.version()) == entry.term();
            if (!known) {
                missing.add(entry);
            }
        }
        if (missing.isEmpty()) {
            return true;
        }
        List<DiskRecord> records = new ArrayList<>();
        missing.forEach(entry -> records.add(new DiskRecord.Appended(epoch, entry)));
        if (!force(records)) {
            return false;
        }
        log.truncateAfter(missing.get(0).version() - 1);
        missing.forEach(log::append);
        return true;
    }

    /**
     * Applies all entries up to a version. Callers must know that a majority has stored these
     * entries.
     */
    void commit(long version) {
        if (version <= state.version()) {
            return;
        }
        applyUpTo(version);
        if (log.baseVersion() + 2 * MIN_RETAINED_ENTRIES < state.version()) {
            log.trimTo(state.version() - MIN_RETAINED_ENTRIES);
        }
        actions.versionApplied(epoch, version);
    }

    private void applyUpTo(long version) {
        for (long next = state.version() + 1; next <= version; next++) {
            LogEntry entry = log.get(next);
            state.putIfNewer(entry);
            state.advanceTo(next, entry.term());
        }
    }

    /**
     * Writes the committed version to disk, so that this replica can serve that version after a
     * restart even if there is no leader.
     */
    void writeCommittedVersion() {
        if (committedVersionOnDisk < state.version()
                && force(List.of(new DiskRecord.Committed(epoch, state.version())))) {
            committedVersionOnDisk = state.version();
        }
    }

    /**
     * Installs the committed state of the leader, or of another replica, after the sender has
     * reported that it no longer retains entries that this replica lacks. A state that is not newer
     * than this replica's state is ignored.
     *
     * <p>The report can be out of date, so this replica's log may have the entries after all. If
     * the log has an entry with the version and the term of the received state, the log is
     * identical to the leader's log up to that version. The entries up to that version are then
     * applied from the log, and the log is kept: this replica may have confirmed later entries to a
     * leader, and replacing the log would lose them. Otherwise the state replaces the log.
     */
    void installState(ConfigState other) {
        if (other.version() <= state.version()) {
            return;
        }
        boolean isInLog =
                other.version() <= log.lastVersion() && log.termAt(other.version()) == other.term();
        if (isInLog) {
            commit(other.version());
            return;
        }
        List<DiskRecord> records = new ArrayList<>();
        records.add(
                new DiskRecord.Reset(
                        epoch, other.version(), other.term(), other.minDeltaVersion()));
        other.entries().values().forEach(e -> records.add(new DiskRecord.Content(List.of(e))));
        if (!force(records)) {
            return;
        }
        state.reset(other.version(), other.term(), other.minDeltaVersion());
        other.entries().values().forEach(state::putIfNewer);
        log.reset(other.version(), other.term());
        committedVersionOnDisk = other.version();
        actions.versionApplied(epoch, other.version());
    }

    /**
     * Writes records to disk. After a write has failed, this replica writes nothing more until it
     * is restarted.
     */
    private boolean force(List<DiskRecord> records) {
        if (!diskFailed) {
            diskFailed = !actions.force(records);
        }
        return !diskFailed;
    }
}
