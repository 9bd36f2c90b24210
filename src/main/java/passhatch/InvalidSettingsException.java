package passhatch;

/** Thrown for settings that cannot be used; the message names the key of the invalid setting. */
public final class InvalidSettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String message) {
        super(message);
    }
}
