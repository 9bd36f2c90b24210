package passhatch.lab.distribution;

/** Thrown when an invariant of the distribution of changes does not hold. */
public final class BrokenPromise extends RuntimeException {

    private static final long serialVersionUID = 1;

    BrokenPromise(String message) {
        super(message);
    }
}
