package passhatch.distribution;

/**
 * One entry of the replicated log.
 *
 * @param version position in the log, from 1
 * @param term of the leader that appended it, from 1
 * @param key what is set; empty for an entry that sets nothing, with which a leader begins its term
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
