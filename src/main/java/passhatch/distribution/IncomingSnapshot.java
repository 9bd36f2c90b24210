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
    private static final int MAX_WAITING = 64;

    private final String source;
    private final long epoch;
    private final long version;
    private final long versionTerm;
    private final List<LogEntry> entries = new ArrayList<>();
    private final Map<Integer, SnapshotPart> waiting = new HashMap<>();
    private String cursor = "";
    private boolean whole;

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

    boolean isWhole() {
        return whole;
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
    boolean take(SnapshotPart part, Predicate<String> wanted) {
        if (waiting.size() >= MAX_WAITING) {
            waiting.clear();
        }
        waiting.put(part.afterKeyHash(), part);
        boolean burstIsOver = false;
        for (SnapshotPart next = waiting.remove(Message.keyHash(cursor));
                next != null;
                next = waiting.remove(Message.keyHash(cursor))) {
            append(next, wanted);
            burstIsOver |= !next.more();
        }
        return burstIsOver;
    }

    private void append(SnapshotPart part, Predicate<String> wanted) {
        for (LogEntry entry : part.entries()) {
            cursor = entry.key();
            if (wanted.test(entry.key())) {
                entries.add(entry);
            }
        }
        whole |= part.last();
    }
}
