package passhatch.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import passhatch.distribution.Message.SnapshotPart;

/**
 * A whole state that is being received from one source. Parts received out of order are kept, so
 * that reordering within a burst costs nothing and a lost part costs only itself.
 */
final class IncomingSnapshot {

    /** Maximum number of parts kept out of order: two bursts. */
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
     * Returns the version up to which all changes are in the snapshot; some entries may be newer.
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

    /** Returns the last key received without a gap before it; empty at the start. */
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
     * Adds a part, and the early parts that follow it.
     *
     * @param wantedKeys the keys that are kept
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
