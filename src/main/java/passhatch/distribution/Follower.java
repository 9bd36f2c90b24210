package passhatch.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import passhatch.distribution.Message.Ack;
import passhatch.distribution.Message.Delta;
import passhatch.distribution.Message.Poll;
import passhatch.distribution.Message.SnapshotPart;

/**
 * Keeps a copy of the committed state, or of the keys of some services, as new as the best of its
 * sources. Only versions above its own are taken, so that duplicates, reordering and sources that
 * are behind cannot put an older value over a newer one.
 */
final class Follower implements CommittedView {

    private static final int MAX_TOMBSTONES = 4_096;

    /** A whole state that is being received. */
    private static final class Snapshot {
        private final String source;
        private final long epoch;
        private final long version;
        private final long versionTerm;
        private final List<LogEntry> entries = new ArrayList<>();
        private String cursor = "";

        Snapshot(String source, SnapshotPart first) {
            this.source = source;
            this.epoch = first.epoch();
            this.version = first.version();
            this.versionTerm = first.versionTerm();
        }
    }

    private final String name;
    private final List<String> sources;
    private final ServiceFilter filter;
    private final Predicate<String> wanted;
    private final RandomGenerator random;
    private final DistributionActions actions;
    private final ConfigState state = new ConfigState(MAX_TOMBSTONES);
    private long epoch;
    private Snapshot snapshot;
    private int current;
    private long pollAtUs;

    /** When the current source answered last, or was turned to. */
    private long answeredUs;

    /** What the current source said of its own state. */
    private long sourceAgeUs;

    /** The newest moment at which the state here is known to have been the newest one. */
    private long currentAsOfUs = Long.MIN_VALUE / 2;

    private boolean sourceBehind;
    private long returnAtUs = Long.MAX_VALUE;
    private boolean diskFailed;

    /**
     * A follower that starts.
     *
     * @param wanted which keys it keeps; all of them pass the filter
     * @param records what its disk has; it serves them until it hears of newer ones
     */
    Follower(
            String name,
            List<String> sources,
            ServiceFilter filter,
            Predicate<String> wanted,
            List<DiskRecord> records,
            long nowUs,
            RandomGenerator random,
            DistributionActions actions) {
        this.name = name;
        this.sources = sources;
        this.filter = filter;
        this.wanted = wanted;
        this.random = random;
        this.actions = actions;
        records.forEach(this::replay);
        answeredUs = nowUs;
        pollAtUs = nowUs + (long) (random.nextDouble() * Timing.POLL_US);
    }

    private void replay(DiskRecord record) {
        if (record instanceof DiskRecord.Reset of) {
            epoch = of.epoch();
            state.reset(of.version(), of.versionTerm(), of.floor());
        } else if (record instanceof DiskRecord.Content of) {
            of.entries().forEach(state::put);
        } else if (record instanceof DiskRecord.Applied of) {
            epoch = of.epoch();
            of.entries().forEach(state::put);
            state.advance(of.upto(), of.uptoTerm());
        }
    }

    List<DiskRecord> snapshot() {
        List<DiskRecord> records = new ArrayList<>();
        records.add(new DiskRecord.Reset(epoch, state.version(), state.term(), state.floor()));
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
    public long ageUs(long nowUs) {
        return nowUs - currentAsOfUs;
    }

    boolean diskFailed() {
        return diskFailed;
    }

    String source() {
        return sources.get(current);
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
        boolean silent = nowUs - answeredUs > Timing.SILENCE_US;
        boolean stale = sourceAgeUs > Timing.STALE_US || sourceBehind;
        if (sources.size() > 1 && (silent || stale)) {
            moveTo(nowUs, (current + 1) % sources.size());
        } else if (nowUs >= returnAtUs) {
            moveTo(nowUs, 0);
        }
    }

    private void moveTo(long nowUs, int source) {
        current = source;
        answeredUs = nowUs;
        sourceAgeUs = 0;
        sourceBehind = false;
        returnAtUs =
                source == 0
                        ? Long.MAX_VALUE
                        : nowUs + (long) ((0.5 + random.nextDouble()) * Timing.RETURN_US);
    }

    private void poll(long nowUs) {
        pollAtUs = nowUs + Timing.POLL_US;
        boolean ofThisSource = snapshot != null && snapshot.source.equals(source());
        if (!ofThisSource) {
            snapshot = null;
        }
        String cursor = snapshot == null || snapshot.cursor.isEmpty() ? null : snapshot.cursor;
        actions.send(source(), new Poll(epoch, state.version(), cursor, filter, name));
    }

    void hear(long nowUs, String from, Message message) {
        if (message instanceof Delta delta) {
            delta(nowUs, from, delta);
        } else if (message instanceof SnapshotPart part) {
            part(nowUs, from, part);
        }
    }

    private void answered(long nowUs, String from, long ageUs, boolean behind) {
        if (from.equals(source())) {
            answeredUs = nowUs;
            sourceAgeUs = ageUs;
            sourceBehind = behind;
        }
    }

    private void current(long nowUs, long ageUs) {
        currentAsOfUs = Math.max(currentAsOfUs, nowUs - ageUs);
    }

    private void delta(long nowUs, String from, Delta delta) {
        boolean behind =
                delta.epoch() < epoch || delta.epoch() == epoch && delta.upto() < state.version();
        answered(nowUs, from, delta.ageUs(), behind);
        if (delta.epoch() != epoch || delta.after() > state.version()) {
            return;
        }
        if (delta.upto() > state.version()) {
            List<LogEntry> newer = new ArrayList<>();
            for (LogEntry entry : delta.entries()) {
                if (entry.version() > state.version() && wanted.test(entry.key())) {
                    newer.add(entry);
                }
            }
            force(List.of(new DiskRecord.Applied(epoch, delta.upto(), delta.uptoTerm(), newer)));
            newer.forEach(state::put);
            state.advance(delta.upto(), delta.uptoTerm());
            snapshot = null;
            actions.inForce(epoch, state.version());
        }
        if (!behind) {
            current(nowUs, delta.ageUs());
        }
        if (!delta.entries().isEmpty()) {
            actions.send(from, new Ack(epoch, state.version()));
        }
    }

    private void part(long nowUs, String from, SnapshotPart part) {
        boolean behind =
                part.epoch() < epoch || part.epoch() == epoch && part.version() < state.version();
        answered(nowUs, from, part.ageUs(), behind);
        if (behind) {
            return;
        }
        if (part.afterKeyHash() == Message.keyHash("") && snapshot == null) {
            snapshot = new Snapshot(from, part);
        }
        boolean follows =
                snapshot != null
                        && snapshot.source.equals(from)
                        && snapshot.epoch == part.epoch()
                        && part.afterKeyHash() == Message.keyHash(snapshot.cursor);
        if (!follows) {
            return;
        }
        for (LogEntry entry : part.entries()) {
            snapshot.cursor = entry.key();
            if (wanted.test(entry.key())) {
                snapshot.entries.add(entry);
            }
        }
        if (part.last()) {
            install(snapshot);
        }
        if (!part.more()) {
            poll(nowUs);
        }
    }

    private void install(Snapshot whole) {
        snapshot = null;
        List<DiskRecord> records = new ArrayList<>();
        records.add(
                new DiskRecord.Reset(whole.epoch, whole.version, whole.versionTerm, whole.version));
        whole.entries.forEach(entry -> records.add(new DiskRecord.Content(List.of(entry))));
        force(records);
        epoch = whole.epoch;
        state.reset(whole.version, whole.versionTerm, whole.version);
        whole.entries.forEach(state::put);
        actions.inForce(epoch, state.version());
    }

    /** A copy may be lost with its disk; what is in force does not wait for a disk that fails. */
    private void force(List<DiskRecord> records) {
        if (!diskFailed) {
            diskFailed = !actions.force(records);
        }
    }
}
