package passhatch.proxy.discovery;

import java.util.concurrent.TimeUnit;
import passhatch.ListLease;

/**
 * Time limits for the calls to discovery, in milliseconds. Together they bound the time until this
 * proxy receives a change. If a call takes longer, the lease on the list expires before a request
 * can be sent to a server past its drain grace.
 *
 * @param silenceTimeoutMs a watch without any message for this long is considered broken
 * @param initialMessageTimeoutMs a call that receives no message for this long is abandoned; if
 *     discovery must be asked for changes, each abandoned call doubles this timeout
 * @param maxMessageTimeoutMs the maximum of the timeout that starts at {@code
 *     initialMessageTimeoutMs} and is doubled
 * @param connectTimeoutMs timeout for connecting to discovery
 * @param maxBackoffMs maximum delay between two calls after failures, if changes are pushed;
 *     otherwise the decision module chooses when to call
 */
record WatchBudget(
        long silenceTimeoutMs,
        long initialMessageTimeoutMs,
        long maxMessageTimeoutMs,
        long connectTimeoutMs,
        long maxBackoffMs) {

    /** Discovery sends an empty line at this interval on a watch without changes. */
    static final long EMPTY_LINE_INTERVAL_MS = 2_000;

    /** Allowed delay of an empty line. */
    private static final long EMPTY_LINE_MARGIN_MS = 1_000;

    /**
     * A call that receives no message is abandoned after this time. The call may be queued at
     * discovery, and an earlier repeat would only make the queue longer.
     */
    private static final long INITIAL_MESSAGE_TIMEOUT_MS = 3_500;

    private static final long MAX_DOUBLINGS = 3;

    private static final long MAX_CONNECT_TIMEOUT_MS = 300;

    /**
     * Number of steps into which the drain grace, less one stall, is divided if changes are pushed.
     * At the end of an outage of discovery, a proxy is deemed notified of all changes made during
     * the outage. The steps until it receives them are a back-off delay, a connection attempt that
     * began before the end of the outage, another delay, and the response.
     */
    private static final long RECONNECT_STEPS = 4;

    private static final long MIN_RECONNECT_STEP_MS = 50;

    /**
     * Returns the time limits for the calls of one proxy.
     *
     * @param onRequest whether discovery must be asked for changes; false if it pushes them
     * @param graceUs how long a draining server may be sent requests, in microseconds
     */
    static WatchBudget of(boolean onRequest, long graceUs) {
        long stepMs =
                TimeUnit.MICROSECONDS.toMillis(graceUs - ListLease.MAX_STALL_US) / RECONNECT_STEPS;
        long reconnectStepMs =
                Math.max(MIN_RECONNECT_STEP_MS, Math.min(stepMs, MAX_CONNECT_TIMEOUT_MS));
        return new WatchBudget(
                EMPTY_LINE_INTERVAL_MS + EMPTY_LINE_MARGIN_MS,
                INITIAL_MESSAGE_TIMEOUT_MS,
                onRequest
                        ? INITIAL_MESSAGE_TIMEOUT_MS << MAX_DOUBLINGS
                        : INITIAL_MESSAGE_TIMEOUT_MS,
                onRequest ? MAX_CONNECT_TIMEOUT_MS : reconnectStepMs,
                reconnectStepMs);
    }
}
