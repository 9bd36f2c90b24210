package passhatch.agent.config;

/** Thrown for an invalid file or value; its message is one line. */
public class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the file and the position in it. */
    public InvalidInputException(String message) {
        super(message);
    }
}
