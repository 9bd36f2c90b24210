package passhatch.lab.load;

/** Final outcome of a request from the client's point of view. */
public enum Outcome {
    /** A backend's complete response arrived before the deadline. */
    SERVED,
    /** A backend's complete response arrived after the deadline. */
    LATE,
    /** Rejected with the promise that a retry is harmless. */
    REFUSED,
    /** Answered with an error. */
    FAILED,
    /**
     * No response because the process that had or was to get the request was killed or stopped by
     * an injected fault, or because no proxy could be reached.
     */
    CUT,
    /** No response although the process was running, which violates the protocol. */
    LOST,
    /**
     * A response with status 200 whose body is not the one that a backend sends for this request.
     */
    SPOILT
}
