package passhatch.store;

/**
 * Thrown when the store cannot be used, or can no longer be used; the message gives the reason in
 * one line.
 */
public class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    StoreException(String message) {
        super(message);
    }

    StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Acknowledged data can no longer be read; the message names the file and the byte offset. */
    public static final class Damaged extends StoreException {
        private static final long serialVersionUID = 1L;

        Damaged(String message) {
            super(message);
        }
    }

    /** The disk failed, now or before: nothing is acknowledged until the store is opened again. */
    public static final class Failed extends StoreException {
        private static final long serialVersionUID = 1L;

        Failed(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Another process has locked the folder. */
    public static final class InUse extends StoreException {
        private static final long serialVersionUID = 1L;

        InUse(String folder) {
            super(folder + " is in use by another process");
        }
    }

    /** The folder belongs to another owner or has a newer format; it is left unchanged. */
    public static final class Foreign extends StoreException {
        private static final long serialVersionUID = 1L;

        Foreign(String message) {
            super(message);
        }
    }

    /**
     * A record, or all records together, would exceed the maximum size; the store continues without
     * it.
     */
    public static final class TooLarge extends StoreException {
        private static final long serialVersionUID = 1L;

        TooLarge(String message) {
            super(message);
        }
    }
}
