package passhatch.proxy;

/**
 * The times of the steps of an orderly shutdown, in milliseconds after the shutdown signal. New
 * connections may arrive for up to 0.4 s after the signal. The time from the signal to SIGKILL is
 * at least 0.7 s plus the longest deadline of a request; a deadline of more than 3 s counts as 3 s.
 *
 * @param stopListeningMs time from which no new connection is accepted
 * @param closeClientsMs time from which client connections are closed, idle connections at once and
 *     the others with their response. Until then open connections are served, as other proxies may
 *     be unavailable too: in a rolling restart the proxy restarted before this one may not be back
 *     yet
 * @param respondByMs time by which every accepted request has a response; later than {@code
 *     closeClientsMs}, so that a request accepted just before that time can still be served
 * @param killMs earliest time at which SIGKILL may come
 */
record ShutdownSchedule(long stopListeningMs, long closeClientsMs, long respondByMs, long killMs) {

    private static final long ACCEPT_PERIOD_MS = 500;
    private static final long KILL_MARGIN_MS = 700;
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;

    /**
     * Responses are sent at least this long before SIGKILL, unless this time is needed to serve the
     * last accepted request.
     */
    private static final long RESPONSE_MARGIN_MS = 300;

    /**
     * The proxy begins to close client connections this long before SIGKILL, but not before it
     * stops listening. The last requests need that time to be served.
     */
    private static final long CLOSE_CLIENTS_MARGIN_MS = 1_200;

    /**
     * Minimum time to serve the last accepted request. If the longest deadline is shorter, that
     * deadline is used instead.
     */
    private static final long MIN_SERVICE_TIME_MS = 100;

    /**
     * Returns the shutdown schedule of a proxy whose requests have deadlines of at most the given
     * length.
     */
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
