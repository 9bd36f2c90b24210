package passhatch.proxy;

/**
 * The steps of an orderly shutdown, in milliseconds after the signal to shut down. New connections
 * may arrive for up to 0.4 s after the signal, and SIGKILL comes no sooner than 0.7 s after the
 * longest deadline, of which at most 3 s count.
 *
 * @param stopListeningMs when new connections are no longer accepted
 * @param closeClientsMs when client connections are closed, with a response or while they are idle.
 *     Until then open connections are served, as the other proxies may be unavailable too: in a
 *     rolling restart the previous proxy may not be back yet
 * @param respondByMs when every accepted request has a response; a request accepted just before
 *     {@code closeClientsMs} still has some time
 * @param killMs when SIGKILL may come at the earliest
 */
record ShutdownSchedule(long stopListeningMs, long closeClientsMs, long respondByMs, long killMs) {

    private static final long ACCEPT_PERIOD_MS = 500;
    private static final long KILL_MARGIN_MS = 700;
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;

    /** Responses are sent at least this long before SIGKILL, if the deadlines leave room for it. */
    private static final long RESPONSE_MARGIN_MS = 300;

    /**
     * No request is accepted later than this before SIGKILL: the last requests need some time to be
     * served.
     */
    private static final long CLOSE_CLIENTS_MARGIN_MS = 1_200;

    /** The minimum time for the last accepted request, or its deadline if that is shorter. */
    private static final long MIN_SERVICE_TIME_MS = 100;

    /** Returns the schedule of a proxy with this longest deadline. */
    static ShutdownSchedule of(long longestDeadlineMs) {
        long killMs = Math.min(longestDeadlineMs, MAX_COUNTED_DEADLINE_MS) + KILL_MARGIN_MS;
        long closeClientsMs = Math.max(ACCEPT_PERIOD_MS, killMs - CLOSE_CLIENTS_MARGIN_MS);
        return new ShutdownSchedule(
                ACCEPT_PERIOD_MS,
                closeClientsMs,
                Math.max(
                        killMs - RESPONSE_MARGIN_MS,
                        closeClientsMs + Math.min(longestDeadlineMs, MIN_SERVICE_TIME_MS)),
                killMs);
    }
}
