package passhatch.agent;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What became of changes submitted at this process: those of a term in which it led, up to a
 * version, are committed. Of the rest it knows nothing once the term is over.
 */
final class SubmittedChanges {

    /** What is known of a change. */
    enum Outcome {
        COMMITTED,
        PENDING,
        UNKNOWN
    }

    /** Terms that are remembered after they are over. */
    private static final int MAX_TERMS = 16;

    private final Map<Long, Long> committedByTerm =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_TERMS;
                }
            };
    private long term;
    private boolean leading;

    /** A term begins. */
    void beginTerm(long newTerm) {
        term = newTerm;
        leading = true;
        committedByTerm.put(term, 0L);
    }

    /** The term is over. */
    void endTerm() {
        leading = false;
    }

    /** The newest term in which this process had the duty. */
    long term() {
        return term;
    }

    /** All changes of this term up to a version are committed. */
    void committed(long version) {
        committedByTerm.merge(term, version, Math::max);
    }

    /** What is known of a change by its version and the term in which it was submitted. */
    Outcome outcome(long version, long submittedTerm) {
        if (version <= committedByTerm.getOrDefault(submittedTerm, 0L)) {
            return Outcome.COMMITTED;
        }
        return leading && submittedTerm == term ? Outcome.PENDING : Outcome.UNKNOWN;
    }
}
