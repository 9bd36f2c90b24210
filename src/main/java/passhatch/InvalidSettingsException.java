package passhatch;

/** Settings that cannot be used; the message names the key that is at fault. */
public final class InvalidSettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String message) {
        super(message);
    }
}
