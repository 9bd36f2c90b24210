package passhatch.store;

/** The store cannot be used, or not any more; the message is one line that says why. */
public class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    StoreException(String message) {
        super(message);
    }

    StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** What was acknowledged cannot be read any more; the message names the file and the byte. */
    public static final class Damaged extends StoreException {
        private static final long serialVersionUID = 1L;

        Damaged(String message) {
            super(message);
        }
    }

    /**
     * The disk failed, now or before: nothing more is acknowledged until the store was opened
     * again.
     */
    public static final class Failed extends StoreException {
        private static final long serialVersionUID = 1L;

        Failed(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Another process has the folder. */
    public static final class InUse extends StoreException {
        private static final long serialVersionUID = 1L;

        InUse(String folder) {
            super(folder + " is in use by another process");
        }
    }

    /** The folder is another owner's, or of a newer format: it is left as it is. */
    public static final class Foreign extends StoreException {
        private static final long serialVersionUID = 1L;

        Foreign(String message) {
            super(message);
        }
    }

    /**
     * A record, or all records together, would be larger than is allowed; the store goes on without
     * it.
     */
    public static final class TooLarge extends StoreException {
        private static final long serialVersionUID = 1L;

        TooLarge(String message) {
            super(message);
        }
    }
}
