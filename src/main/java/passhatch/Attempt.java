package passhatch;

/** One send of a request to a server. */
final class Attempt {
    final ServerState server;
    final long sentAtUs;

    /**
     * Number of known requests in flight at the server when this attempt was sent, plus the work of
     * this attempt as a multiple of the usual work of a request.
     */
    final double loadAtSend;

    /**
     * True if {@link #loadAtSend} may be used for latency statistics: a load report was valid when
     * this attempt was sent, or this copy sends no probes.
     */
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

    /**
     * Returns whether the server counted as idle when this attempt was sent, according to a valid
     * load report or, if this copy sends no probes, to this copy's own requests in flight.
     */
    boolean reportedIdle() {
        return loadKnown && loadAtSend == request.relativeWork;
    }
}
