package passhatch.lab.load;

/** Final outcome of a request from the client's point of view. */
public enum Outcome {
    /** A backend's complete response arrived by the deadline. */
    SERVED,
    /** A backend's complete response arrived after the deadline. */
    LATE,
    /** The request was rejected with the promise that it can be retried safely. */
    REFUSED,
    /** The request was answered with an error. */
    FAILED,
    /**
     * No response arrived because an injected fault killed or stopped the proxy to which the
     * request was sent, or because no proxy could be reached.
     */
    CUT,
    /** No response arrived although the proxy was running, which violates the protocol. */
    LOST,
    /**
     * A response with status 200 arrived, but its body is not the one that a backend sends for this
     * request.
     */
    SPOILT
}
