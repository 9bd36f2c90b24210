package passhatch.distribution;

/**
 * One entry of the replicated log.
 *
 * @param version position in the log, from 1
 * @param term term of the leader that appended the entry, from 1
 * @param key the key that is set; empty for the no-operation entry that a leader appends at the
 *     start of its term
 * @param value the new value; null deletes the key
 */
public record LogEntry(long version, long term, String key, String value) {

    static LogEntry noOperation(long version, long term) {
        return new LogEntry(version, term, "", null);
    }

    boolean isNoOperation() {
        return key.isEmpty();
    }

    boolean isTombstone() {
        return value == null;
    }
}
