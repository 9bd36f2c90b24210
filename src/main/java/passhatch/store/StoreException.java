package passhatch.store;

/** Thrown when the store cannot execute a request; the message gives the reason in one line. */
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

    /**
     * The disk failed during this call or an earlier one. The store acknowledges no further records
     * until it is opened again.
     */
    public static final class Failed extends StoreException {
        private static final long serialVersionUID = 1L;

        Failed(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Another process, or another object in this process, has locked the folder. */
    public static final class InUse extends StoreException {
        private static final long serialVersionUID = 1L;

        InUse(String folder) {
            super(folder + " is in use by another process");
        }
    }

    /**
     * The store in the folder belongs to another owner, or has a newer format than this program
     * supports. The folder is left unchanged.
     */
    public static final class Foreign extends StoreException {
        private static final long serialVersionUID = 1L;

        Foreign(String message) {
            super(message);
        }
    }

    /**
     * A record, a snapshot, the records of one call or the whole store would exceed the maximum
     * size. Nothing is written, and the store remains usable.
     */
    public static final class TooLarge extends StoreException {
        private static final long serialVersionUID = 1L;

        TooLarge(String message) {
            super(message);
        }
    }
}
