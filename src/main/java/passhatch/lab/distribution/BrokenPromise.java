package passhatch.lab.distribution;

/** Something that has to hold of the distribution of changes does not. */
public final class BrokenPromise extends RuntimeException {

    private static final long serialVersionUID = 1;

    BrokenPromise(String message) {
        super(message);
    }
}
