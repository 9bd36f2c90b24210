package passhatch.fleet;

import java.util.Comparator;

/**
 * Orders the statements that a member makes about itself: the statement with the greater
 * incarnation is newer.
 *
 * @param epoch number that grows with each start of the process and is made durable before it is
 *     used; 0 or more
 * @param runId number drawn at random at each start, so that the incarnations of two processes with
 *     the same name and epoch differ
 * @param refutation number that grows each time the process refutes an update about itself; 0 or
 *     more
 */
public record Incarnation(long epoch, int runId, int refutation)
        implements Comparable<Incarnation> {

    private static final Comparator<Incarnation> ORDER =
            Comparator.comparingLong(Incarnation::epoch)
                    .thenComparing(Incarnation::runId, Integer::compareUnsigned)
                    .thenComparingInt(Incarnation::refutation);

    @Override
    public int compareTo(Incarnation other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this incarnation and another one belong to the same run of one process. */
    boolean isSameRun(Incarnation other) {
        return epoch == other.epoch && runId == other.runId;
    }

    @Override
    public String toString() {
        return epoch + "." + Integer.toHexString(runId) + "." + refutation;
    }
}
