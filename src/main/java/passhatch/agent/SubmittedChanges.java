package passhatch.agent;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the outcome of the configuration changes submitted at this process. For each recent term
 * in which this process was the leader, the last committed version is remembered. Once a term has
 * ended, the outcome of the term's changes after that version is unknown.
 */
final class SubmittedChanges {

    /** What this process knows about the outcome of a change. */
    enum Outcome {
        COMMITTED,
        PENDING,
        UNKNOWN
    }

    /** Maximum number of terms that are remembered. */
    private static final int MAX_TERMS = 16;

    private final Map<Long, Long> committedVersionByTerm =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_TERMS;
                }
            };
    private long term;
    private boolean leading;

    /** Starts a term in which this process is the leader. */
    void beginTerm(long newTerm) {
        term = newTerm;
        leading = true;
        committedVersionByTerm.put(term, 0L);
    }

    /** Ends the current term, so that this process is no longer the leader. */
    void endTerm() {
        leading = false;
    }

    /** Returns the newest term in which this process was the leader, or 0 if there was none. */
    long term() {
        return term;
    }

    /** Records that all changes of the current term up to a version are committed. */
    void recordCommitted(long version) {
        committedVersionByTerm.merge(term, version, Math::max);
    }

    /**
     * Returns what is known about the outcome of the change that was submitted in the given term
     * and was assigned the given version.
     */
    Outcome outcome(long version, long submittedTerm) {
        if (version <= committedVersionByTerm.getOrDefault(submittedTerm, 0L)) {
            return Outcome.COMMITTED;
        }
        return leading && submittedTerm == term ? Outcome.PENDING : Outcome.UNKNOWN;
    }
}
