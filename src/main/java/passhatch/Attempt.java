package passhatch;

/** One send of a request to a server. */
final class Attempt {
    final ServerState server;
    final long sentAtUs;

    /**
     * Known requests in flight at the server when this attempt was sent, including this attempt's
     * own work.
     */
    final double loadAtSend;

    /** Whether {@link #loadAtSend} includes other copies' requests. */
    final boolean loadKnown;

    final RequestState request;

    /** Time after which this attempt is overdue if the server has not answered. */
    long overdueAtUs;

    boolean outstanding = true;

    /** Whether the request's body is still being sent, so that no response can be expected yet. */
    boolean uploading;

    /** Whether the server has begun to send the response. */
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

    /** Returns whether the server has the whole request but has not begun a response. */
    boolean awaitsResponse() {
        return outstanding && !uploading && !responseStarted;
    }

    /** Returns whether a valid load report showed the server as idle when this attempt was sent. */
    boolean reportedIdle() {
        return loadKnown && loadAtSend == request.relativeWork;
    }
}
