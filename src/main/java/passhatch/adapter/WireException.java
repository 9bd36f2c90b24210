package passhatch.adapter;

/** Thrown for invalid input; the message says what is wrong and where. */
final class WireException extends Exception {

    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
