package passhatch.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import passhatch.distribution.Message.Ack;
import passhatch.distribution.Message.Delta;
import passhatch.distribution.Message.Poll;
import passhatch.distribution.Message.SnapshotPart;

/**
 * Keeps a copy of the committed state, or of its entries for some services, up to date by polling
 * one of several sources. A follower applies only changes above the version that it already has. So
 * duplicated or reordered datagrams, or a source with an older state, cannot replace a newer value
 * by an older one.
 */
final class Follower implements CommittedView {

    private static final int MAX_TOMBSTONES = 4_096;

    /**
     * Maximum number of deltas that are kept while earlier deltas are missing: twice the maximum
     * number of datagrams that a source sends to a follower before it confirms them.
     */
    private static final int MAX_EARLY_DELTAS = 32;

    private final String name;
    private final List<String> sources;
    private final ServiceFilter filter;
    private final Predicate<String> wantedKeys;
    private final RandomGenerator random;
    private final DistributionActions actions;
    private final ConfigState state = new ConfigState(MAX_TOMBSTONES);
    private long epoch;

    /**
     * Deltas that cannot be applied until the deltas before them arrive. The map's key is the
     * version after which a delta begins.
     */
    private final TreeMap<Long, Delta> earlyDeltas = new TreeMap<>();

    private IncomingSnapshot incomingSnapshot;
    private int sourceIndex;
    private long pollAtUs;
    private long lastPollUs;

    /**
     * Time at which the current source last replied; if this source has not replied yet, the time
     * at which the follower switched to it.
     */
    private long lastReplyUs;

    /** Age of the current source's state in microseconds, as the source last reported it. */
    private long sourceAgeUs;

    /** Latest time at which the state of this follower is known to have been current. */
    private long currentAsOfUs = Long.MIN_VALUE / 2;

    private boolean sourceIsBehind;

    /**
     * Number of consecutive checks in which the current source was stale: its state was too old, or
     * behind the state of this follower.
     */
    private int consecutiveStaleSources;

    /** Time until which the follower does not switch to another source because of a stale state. */
    private long toleratesStaleUntilUs;

    private long returnToPreferredAtUs = Long.MAX_VALUE;
    private boolean diskFailed;

    /**
     * Creates a follower from the records on its disk.
     *
     * @param filter filter that is sent to the sources; it accepts all wanted keys, and sometimes
     *     other keys
     * @param wantedKeys accepts the keys whose entries the follower keeps
     * @param records contents of the disk; the follower serves them until it receives newer changes
     */
    Follower(
            String name,
            List<String> sources,
            ServiceFilter filter,
            Predicate<String> wantedKeys,
            List<DiskRecord> records,
            long nowUs,
            RandomGenerator random,
            DistributionActions actions) {
        this.name = name;
        this.sources = sources;
        this.filter = filter;
        this.wantedKeys = wantedKeys;
        this.random = random;
        this.actions = actions;
        records.forEach(this::replay);
        lastReplyUs = nowUs;
        pollAtUs = nowUs + (long) (random.nextDouble() * Timing.POLL_INTERVAL_US);
    }

    private void replay(DiskRecord record) {
        if (record instanceof DiskRecord.Reset reset) {
            epoch = reset.epoch();
            state.reset(reset.version(), reset.versionTerm(), reset.minDeltaVersion());
        } else if (record instanceof DiskRecord.Content content) {
            content.entries().forEach(state::putIfNewer);
        } else if (record instanceof DiskRecord.Applied applied) {
            epoch = applied.epoch();
            applied.entries().forEach(state::putIfNewer);
            state.advanceTo(applied.uptoVersion(), applied.uptoTerm());
        }
    }

    List<DiskRecord> snapshotRecords() {
        List<DiskRecord> records = new ArrayList<>();
        records.add(
                new DiskRecord.Reset(
                        epoch, state.version(), state.term(), state.minDeltaVersion()));
        state.entries().values().forEach(e -> records.add(new DiskRecord.Content(List.of(e))));
        return records;
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
        return nowUs - currentAsOfUs;
    }

    boolean diskFailed() {
        return diskFailed;
    }

    String source() {
        return sources.get(sourceIndex);
    }

    long wakeAtUs() {
        return pollAtUs;
    }

    void timer(long nowUs) {
        if (nowUs < pollAtUs) {
            return;
        }
        chooseSource(nowUs);
        poll(nowUs);
    }

    private void chooseSource(long nowUs) {
        boolean silent = nowUs - lastReplyUs > Timing.SOURCE_TIMEOUT_US;
        boolean stale = sourceAgeUs > Timing.MAX_SOURCE_AGE_US || sourceIsBehind;
        if (stale
                && nowUs >= toleratesStaleUntilUs
                && ++consecutiveStaleSources >= sources.size()) {
            // All sources are stale, for example because there is no leader, so the follower
            // stops switching for a while.
            consecutiveStaleSources = 0;
            toleratesStaleUntilUs = nowUs + randomPreferredRetryDelayUs();
            switchSource(nowUs, 0);
            return;
        }
        boolean leaveSource = silent || stale && nowUs >= toleratesStaleUntilUs;
        if (sources.size() > 1 && leaveSource) {
            switchSource(nowUs, (sourceIndex + 1) % sources.size());
        } else if (nowUs >= returnToPreferredAtUs) {
            switchSource(nowUs, 0);
        }
    }

    private void switchSource(long nowUs, int source) {
        sourceIndex = source;
        lastReplyUs = nowUs;
        sourceAgeUs = 0;
        sourceIsBehind = false;
        returnToPreferredAtUs =
                source == 0 ? Long.MAX_VALUE : nowUs + randomPreferredRetryDelayUs();
    }

    private long randomPreferredRetryDelayUs() {
        return (long) ((0.5 + random.nextDouble()) * Timing.PREFERRED_SOURCE_RETRY_DELAY_US);
    }

    private void poll(long nowUs) {
        lastPollUs = nowUs;
        pollAtUs = nowUs + Timing.POLL_RETRY_DELAY_US;
        boolean fromCurrentSource =
                incomingSnapshot != null && incomingSnapshot.source().equals(source());
        if (!fromCurrentSource) {
            incomingSnapshot = null;
        }
        String cursor =
                incomingSnapshot == null || incomingSnapshot.cursor().isEmpty()
                        ? null
                        : incomingSnapshot.cursor();
        actions.send(source(), new Poll(epoch, state.version(), cursor, filter, name));
    }

    void onMessage(long nowUs, String from, Message message) {
        if (message instanceof Delta delta) {
            onDelta(nowUs, from, delta);
        } else if (message instanceof SnapshotPart part) {
            onSnapshotPart(nowUs, from, part);
        }
    }

    private void onSourceReply(long nowUs, String from, long ageUs, boolean behind) {
        if (from.equals(source())) {
            lastReplyUs = nowUs;
            pollAtUs = Math.max(pollAtUs, lastPollUs + Timing.POLL_INTERVAL_US);
            sourceAgeUs = ageUs;
            sourceIsBehind = behind;
            if (!behind && ageUs <= Timing.MAX_SOURCE_AGE_US) {
                consecutiveStaleSources = 0;
                toleratesStaleUntilUs = 0;
            }
        }
    }

    private void updateCurrentAsOf(long nowUs, long ageUs) {
        currentAsOfUs = Math.max(currentAsOfUs, nowUs - ageUs);
    }

    private void onDelta(long nowUs, String from, Delta delta) {
        boolean behind =
                delta.epoch() < epoch
                        || delta.epoch() == epoch && delta.uptoVersion() < state.version();
        onSourceReply(nowUs, from, delta.stateAgeUs(), behind);
        if (delta.epoch() != epoch) {
            return;
        }
        if (delta.afterVersion() > state.version()) {
            addEarlyDelta(delta);
            return;
        }
        if (delta.uptoVersion() > state.version()) {
            applyDelta(delta);
            applyEarlyDeltas();
            incomingSnapshot = null;
            actions.versionApplied(epoch, state.version());
        }
        if (!behind) {
            updateCurrentAsOf(nowUs, delta.stateAgeUs());
        }
        if (!delta.entries().isEmpty()) {
            actions.send(from, new Ack(epoch, state.version()));
        }
    }

    private void addEarlyDelta(Delta delta) {
        if (earlyDeltas.size() >= MAX_EARLY_DELTAS) {
            earlyDeltas.clear();
        }
        earlyDeltas.put(delta.afterVersion(), delta);
    }

    /** Applies those of the {@link #earlyDeltas} that no longer wait for a missing delta. */
    private void applyEarlyDeltas() {
        for (Map.Entry<Long, Delta> next = earlyDeltas.pollFirstEntry();
                next != null;
                next = earlyDeltas.pollFirstEntry()) {
            Delta delta = next.getValue();
            if (delta.afterVersion() > state.version()) {
                earlyDeltas.put(next.getKey(), delta);
                return;
            }
            if (delta.epoch() == epoch && delta.uptoVersion() > state.version()) {
                applyDelta(delta);
            }
        }
    }

    private void applyDelta(Delta delta) {
        List<LogEntry> newer = new ArrayList<>();
        for (LogEntry entry : delta.entries()) {
            if (entry.version() > state.version() && wantedKeys.test(entry.key())) {
                newer.add(entry);
            }
        }
        force(List.of(new DiskRecord.Applied(epoch, delta.uptoVersion(), delta.uptoTerm(), newer)));
        newer.forEach(state::putIfNewer);
        state.advanceTo(delta.uptoVersion(), delta.uptoTerm());
    }

    private void onSnapshotPart(long nowUs, String from, SnapshotPart part) {
        boolean behind =
                part.epoch() < epoch || part.epoch() == epoch && part.version() < state.version();
        onSourceReply(nowUs, from, part.stateAgeUs(), behind);
        if (behind || part.epoch() == epoch && part.version() == state.version()) {
            return;
        }
        if (incomingSnapshot == null || part.epoch() > incomingSnapshot.epoch()) {
            incomingSnapshot = new IncomingSnapshot(from, part);
        }
        if (!incomingSnapshot.accepts(from, part)) {
            return;
        }
        boolean burstComplete = incomingSnapshot.addPart(part, wantedKeys);
        if (incomingSnapshot.isComplete()) {
            installSnapshot(incomingSnapshot);
        }
        boolean gap = !burstComplete && !part.moreInBurst() && from.equals(source());
        if (burstComplete || gap && nowUs - lastPollUs >= Timing.MIN_SNAPSHOT_RETRY_INTERVAL_US) {
            poll(nowUs);
        }
    }

    private void installSnapshot(IncomingSnapshot complete) {
        incomingSnapshot = null;
        if (complete.epoch() == epoch) {
            // Entries of an earlier snapshot may be newer than this snapshot's version; they are
            // kept.
            complete.entries().addAll(state.allEntriesAfter(complete.version()));
        }
        List<DiskRecord> records = new ArrayList<>();
        records.add(
                new DiskRecord.Reset(
                        complete.epoch(),
                        complete.version(),
                        complete.versionTerm(),
                        complete.version()));
        complete.entries().forEach(entry -> records.add(new DiskRecord.Content(List.of(entry))));
        force(records);
        if (complete.epoch() != epoch) {
            earlyDeltas.clear();
        }
        epoch = complete.epoch();
        state.reset(complete.version(), complete.versionTerm(), complete.version());
        complete.entries().forEach(state::putIfNewer);
        actions.versionApplied(epoch, state.version());
    }

    /**
     * Writes records to disk. The caller applies the changes even if the write fails, because a
     * follower that has lost its copy can fetch the state again.
     */
    private void force(List<DiskRecord> records) {
        if (!diskFailed) {
            diskFailed = !actions.force(records);
        }
    }
}
