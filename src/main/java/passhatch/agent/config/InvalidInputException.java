package passhatch.agent.config;

/** Thrown if a file or a value is invalid. The message is one line. */
public class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a message that names the file and the position of the error in it.
     */
    public InvalidInputException(String message) {
        super(message);
    }
}
