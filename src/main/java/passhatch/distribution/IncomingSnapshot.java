package passhatch.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import passhatch.distribution.Message.SnapshotPart;

/**
 * A snapshot that is being received from one source in several parts. A part that arrives before
 * earlier parts is kept until these arrive, so that only lost parts have to be sent again.
 */
final class IncomingSnapshot {

    /**
     * Maximum number of parts that are kept while earlier parts are missing: twice the number of
     * parts that a source sends in reply to one poll.
     */
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
     * Returns the version up to which the snapshot contains all changes; some entries of the
     * snapshot may be newer.
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

    /**
     * Returns the key of the last entry that was received without a gap before it; empty until
     * there is such an entry.
     */
    String cursor() {
        return cursor;
    }

    boolean isComplete() {
        return complete;
    }

    /**
     * Returns whether a part comes from this snapshot's source, in the same epoch and with the same
     * or a higher version.
     */
    boolean accepts(String from, SnapshotPart part) {
        return source.equals(from) && part.epoch() == epoch && part.version() >= version;
    }

    /**
     * Adds a part if all parts before it have been added, and then adds the kept parts that follow
     * it. Otherwise, keeps the part until the parts before it arrive.
     *
     * @param wantedKeys accepts the keys whose entries are kept
     * @return true if the last part of a burst was added, so that the next burst can be requested;
     *     a burst is the parts that the source sends in reply to one poll
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
