package passhatch.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import passhatch.distribution.Message.SnapshotPart;

/**
 * A whole state that is being received from one source. Parts that come before their turn are kept,
 * so that reordering within a burst costs nothing and a lost part only itself.
 */
final class IncomingSnapshot {

    /** Parts kept before their turn, at most: two bursts. */
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

    /** All changes up to this one are in the snapshot; some entries may be newer. */
    long version() {
        return version;
    }

    long versionTerm() {
        return versionTerm;
    }

    List<LogEntry> entries() {
        return entries;
    }

    /** The last key received without a gap before it; empty at the start. */
    String cursor() {
        return cursor;
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether a part can belong to this snapshot. */
    boolean accepts(String from, SnapshotPart part) {
        return source.equals(from) && part.epoch() == epoch && part.version() >= version;
    }

    /**
     * Takes a part, and those that waited for it.
     *
     * @param wanted which keys are kept
     * @return whether the last part of a burst is in its place now, so that the next can be had
     */
    boolean addPart(SnapshotPart part, Predicate<String> wanted) {
        if (earlyParts.size() >= MAX_EARLY_PARTS) {
            earlyParts.clear();
        }
        earlyParts.put(part.afterKeyHash(), part);
        boolean burstComplete = false;
        for (SnapshotPart next = earlyParts.remove(Message.keyHash(cursor));
                next != null;
                next = earlyParts.remove(Message.keyHash(cursor))) {
            append(next, wanted);
            burstComplete |= !next.more();
        }
        return burstComplete;
    }

    private void append(SnapshotPart part, Predicate<String> wanted) {
        for (LogEntry entry : part.entries()) {
            cursor = entry.key();
            if (wanted.test(entry.key())) {
                entries.add(entry);
            }
        }
        complete |= part.last();
    }
}
