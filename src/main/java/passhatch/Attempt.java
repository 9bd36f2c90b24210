package passhatch;

/** One attempt of a call. */
final class Attempt {
    final ServerState server;
    final long sentAtUs;

    /** Calls ahead of it at its server as far as was known, and itself. */
    final double loadAtSend;

    /** True where that included other copies' calls. */
    final boolean loadKnown;

    final RequestState request;

    /** When it should have ended by all that is known; an attempt out longer is overdue. */
    long overdueAtUs;

    boolean outstanding = true;

    /** Its request's body is on its way, so it cannot be answered yet. */
    boolean uploading;

    /** Its answer has begun: only the rest of that is still to come. */
    boolean responseStarted;

    boolean provedNotRun;
    boolean overdue;

    Attempt(RequestState call, ServerState server, long sentAtUs, double ahead, boolean known) {
        this.request = call;
        this.server = server;
        this.sentAtUs = sentAtUs;
        this.loadAtSend = ahead;
        this.loadKnown = known;
    }

    /** Whether its server still owes an answer. */
    boolean awaitsResponse() {
        return outstanding && !uploading && !responseStarted;
    }

    /** Whether its server had just said that it was idle. */
    boolean reportedIdle() {
        return loadKnown && loadAtSend == request.relativeWork;
    }
}
