package passhatch.distribution;

/**
 * Thrown when a configuration change is rejected before any replica has stored it. The message
 * gives the reason in one line.
 */
public final class InvalidChangeException extends Exception {

    private static final long serialVersionUID = 1;

    InvalidChangeException(String message) {
        super(message);
    }
}
