package passhatch.proxy;

/**
 * When a process that was told to end does what, in milliseconds after the order. The protocol page
 * gives the figures: new connections go on coming for up to 0.4 s, and SIGKILL comes no sooner than
 * 0.7 s beyond the longest deadline, of which 3 s count at most.
 *
 * @param stopListeningMs no more connections are taken
 * @param closeClientsMs clients are sent away, with an answer or between two. Until then open
 *     connections are served on, as the proxies that their clients would turn to may be down as
 *     well: in a rolling restart the one before may not be back yet
 * @param respondByMs all that was taken is answered by then; a request taken up to {@code leaveMs}
 *     has time left
 * @param killMs SIGKILL may come
 */
record ShutdownSchedule(long stopListeningMs, long closeClientsMs, long respondByMs, long killMs) {

    private static final long ACCEPT_PERIOD_MS = 500;
    private static final long KILL_MARGIN_MS = 700;
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;

    /** Answers go out at least this long before SIGKILL, where deadlines leave room for it. */
    private static final long RESPONSE_MARGIN_MS = 300;

    /**
     * And nothing is taken any more this long before it: the last requests need some time to be
     * served.
     */
    private static final long CLOSE_CLIENTS_MARGIN_MS = 1_200;

    /** The last request taken has this long at least, or its deadline where that is shorter. */
    private static final long MIN_SERVICE_TIME_MS = 100;

    /** The plan of a proxy whose longest deadline is this. */
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
