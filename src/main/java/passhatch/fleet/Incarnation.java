package passhatch.fleet;

import java.util.Comparator;

/**
 * Tells a member's statements about itself apart by age: the greater one is newer.
 *
 * @param epoch grows with each start of the process and is on disk before it is used; 0 or more
 * @param life drawn at random at each start, so that two processes of one name and epoch differ
 * @param refutation grows each time that the process denies what is said of it; 0 or more
 */
public record Incarnation(long epoch, int life, int refutation) implements Comparable<Incarnation> {

    private static final Comparator<Incarnation> ORDER =
            Comparator.comparingLong(Incarnation::epoch)
                    .thenComparing(Incarnation::life, Integer::compareUnsigned)
                    .thenComparingInt(Incarnation::refutation);

    @Override
    public int compareTo(Incarnation other) {
        return ORDER.compare(this, other);
    }

    /** Whether both are of the same run of one process. */
    boolean sameLife(Incarnation other) {
        return epoch == other.epoch && life == other.life;
    }

    @Override
    public String toString() {
        return epoch + "." + Integer.toHexString(life) + "." + refutation;
    }
}
