package passhatch.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import passhatch.distribution.Message.SnapshotPart;

/**
 * A snapshot that is being received from one source in several parts. Parts that arrive too early
 * are kept until the parts before them arrive, so that only lost parts have to be sent again.
 */
final class IncomingSnapshot {

    /** Maximum number of early parts that are kept; equal to two bursts of a source. */
    private static final int MAX_EARLY_PARTS = 64;

    private final String source;
    private final long epoch;
    private final long version;
    private final long versionTerm;
    private final List<LogEntry> entries = new ArrayList<>();
    private final Map<Integer, SnapshotPart> earlyParts = new HashMap<>();
    private String cursor = "";
    private boolean complete;

    IncomingSnapshot(String source, SnapshotPart part) {
        this.source = source;
        this.epoch = part.epoch();
        this.version = part.version();
        this.versionTerm = part.versionTerm();
    }

    String source() {
        return source;
    }

    long epoch() {
        return epoch;
    }

    /**
     * Returns the version up to which the snapshot contains all changes; some of its entries may be
     * newer.
     */
    long version() {
        return version;
    }

    long versionTerm() {
        return versionTerm;
    }

    List<LogEntry> entries() {
        return entries;
    }

    /** Returns the key up to which all parts have been received; empty at the start. */
    String cursor() {
        return cursor;
    }

    boolean isComplete() {
        return complete;
    }

    /** Returns whether a part can belong to this snapshot. */
    boolean accepts(String from, SnapshotPart part) {
        return source.equals(from) && part.epoch() == epoch && part.version() >= version;
    }

    /**
     * Adds a part; if it is the next one in order, also adds the early parts that follow it.
     *
     * @param wantedKeys tells which keys to keep
     * @return whether the last part of a burst was added, so that the next burst can be requested
     */
    boolean addPart(SnapshotPart part, Predicate<String> wantedKeys) {
        if (earlyParts.size() >= MAX_EARLY_PARTS) {
            earlyParts.clear();
        }
        earlyParts.put(part.afterKeyHash(), part);
        boolean burstComplete = false;
        for (SnapshotPart next = earlyParts.remove(Message.keyHash(cursor));
                next != null;
                next = earlyParts.remove(Message.keyHash(cursor))) {
            appendPart(next, wantedKeys);
            burstComplete |= !next.moreInBurst();
        }
        return burstComplete;
    }

    private void appendPart(SnapshotPart part, Predicate<String> wantedKeys) {
        for (LogEntry entry : part.entries()) {
            cursor = entry.key();
            if (wantedKeys.test(entry.key())) {
                entries.add(entry);
            }
        }
        complete |= part.last();
    }
}
