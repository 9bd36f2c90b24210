package passhatch.distribution;

/**
 * Thrown when a change is rejected before any replica has stored it; the message gives the reason
 * in one line.
 */
public final class InvalidChangeException extends Exception {

    private static final long serialVersionUID = 1;

    InvalidChangeException(String message) {
        super(message);
    }
}
