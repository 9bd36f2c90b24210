package passhatch.lab.soak;

/**
 * One request as its client saw it. Times are values of {@link System#nanoTime}; 0 stands for an
 * event that has not happened. Fields are written by one thread at a time and read after the run.
 */
final class ClientRequest {
    final String id;
    final RequestKind kind;
    final long timeoutMs;

    /** When the last byte of the request had been written. */
    volatile long sentNs;

    /** When the client closed its connection without waiting for the response. */
    volatile long leftNs;

    /** When the last byte of the response had been read. */
    volatile long answeredNs;

    /** The status of the response; 0 before its head has been read. */
    volatile int status;

    /** Whether the response has the body that a backend gives to this request. */
    volatile boolean bodyIntact;

    /**
     * When the request was sent once more because its connection was closed without a response; 0
     * if it was not.
     */
    volatile long resentNs;

    /** Whether a long response is expected, which has no time limit once it has begun. */
    volatile boolean streamed;

    /** Whether the connection ended before the whole response had been read. */
    volatile boolean connectionLost;

    ClientRequest(String id, RequestKind kind, long timeoutMs) {
        this.id = id;
        this.kind = kind;
        this.timeoutMs = timeoutMs;
    }

    /** Returns whether a backend's whole response arrived within the client's time. */
    boolean servedInTime() {
        return status == 200
                && bodyIntact
                && answeredNs != 0
                && answeredNs - sentNs <= timeoutMs * 1_000_000;
    }
}
