package passhatch.agent.config;

/** A file or value that was given and cannot be used; its message is one line. */
public class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message names the file and the place in it. */
    public InvalidInputException(String message) {
        super(message);
    }
}
