package passhatch;

/** One send of a request to a server. */
final class Attempt {
    final ServerState server;
    final long sentAtUs;

    /** Requests in flight at the server as far as known at the send, this one's work included. */
    final double loadAtSend;

    /** Whether {@link #loadAtSend} includes other copies' requests. */
    final boolean loadKnown;

    final RequestState request;

    /** Time after which the attempt is overdue if it has not ended. */
    long overdueAtUs;

    boolean outstanding = true;

    /** Whether the request's body is still being sent, so that no response can be expected yet. */
    boolean uploading;

    /** Whether the response has begun, so that only the rest of it is still to come. */
    boolean responseStarted;

    boolean provedNotRun;
    boolean overdue;

    Attempt(
            RequestState request,
            ServerState server,
            long sentAtUs,
            double loadAtSend,
            boolean loadKnown) {
        this.request = request;
        this.server = server;
        this.sentAtUs = sentAtUs;
        this.loadAtSend = loadAtSend;
        this.loadKnown = loadKnown;
    }

    /** Returns whether the server has yet to begin a response. */
    boolean awaitsResponse() {
        return outstanding && !uploading && !responseStarted;
    }

    /** Returns whether the server had reported itself idle just before the send. */
    boolean reportedIdle() {
        return loadKnown && loadAtSend == request.relativeWork;
    }
}
