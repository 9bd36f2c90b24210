package passhatch.agent;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the outcome of changes submitted at this process. For each term in which it was the
 * leader, the versions up to a bound are committed; the outcome of later ones is unknown once the
 * term has ended.
 */
final class SubmittedChanges {

    /** The known outcome of a change. */
    enum Outcome {
        COMMITTED,
        PENDING,
        UNKNOWN
    }

    /** Most terms that are remembered. */
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

    /** Starts a term. */
    void beginTerm(long newTerm) {
        term = newTerm;
        leading = true;
        committedVersionByTerm.put(term, 0L);
    }

    /** Ends the term. */
    void endTerm() {
        leading = false;
    }

    /** The newest term in which this process held the duty. */
    long term() {
        return term;
    }

    /** Records that all changes of this term up to a version are committed. */
    void recordCommitted(long version) {
        committedVersionByTerm.merge(term, version, Math::max);
    }

    /** Returns what is known of a change, by its version and the term in which it was submitted. */
    Outcome outcome(long version, long submittedTerm) {
        if (version <= committedVersionByTerm.getOrDefault(submittedTerm, 0L)) {
            return Outcome.COMMITTED;
        }
        return leading && submittedTerm == term ? Outcome.PENDING : Outcome.UNKNOWN;
    }
}
