package passhatch.distribution;

/** A change that is refused before anybody has it; the message says why, in one line. */
public final class InvalidChangeException extends Exception {

    private static final long serialVersionUID = 1;

    InvalidChangeException(String message) {
        super(message);
    }
}
