package passhatch.proxy.discovery;

import java.util.concurrent.TimeUnit;
import passhatch.ListLease;

/**
 * How the time is spent in which news of discovery has to be here, in milliseconds. Where a step
 * takes longer, the lease on the list runs out before a request can go to a server past its grace.
 *
 * @param silenceTimeoutMs a watch that has told nothing for so long is taken for broken
 * @param initialMessageTimeoutMs a call that has told nothing by then is given up; doubled by each
 *     such call where discovery has to be asked
 * @param maxMessageTimeoutMs the longest time for an answer
 * @param connectTimeoutMs a connection that is not up by then never will be
 * @param maxBackoffMs between two calls after failures, where changes are pushed; else the module
 *     says when to call
 */
record WatchBudget(
        long silenceTimeoutMs,
        long initialMessageTimeoutMs,
        long maxMessageTimeoutMs,
        long connectTimeoutMs,
        long maxBackoffMs) {

    /** A watch with nothing to tell says so by an empty line this often. */
    static final long EMPTY_LINE_INTERVAL_MS = 2_000;

    /** So much later an empty line may come. */
    private static final long EMPTY_LINE_MARGIN_MS = 1_000;

    /** A call may wait its turn, and asking again sooner would only make the queue longer. */
    private static final long INITIAL_MESSAGE_TIMEOUT_MS = 3_500;

    private static final long MAX_DOUBLINGS = 3;

    private static final long MAX_CONNECT_TIMEOUT_MS = 300;

    /**
     * Where changes are pushed, all that has gathered in an outage counts as told at its end. The
     * grace, less a hold-up, is shared by a pause, a connection that was tried before the end,
     * another pause, and the answer.
     */
    private static final long PUSHED_STEPS = 4;

    private static final long MIN_PUSHED_STEP_MS = 50;

    /**
     * The budget of one proxy.
     *
     * @param onRequest whether discovery has to be asked for changes, or they are pushed
     * @param graceUs how long a server that drains may be sent requests, in microseconds
     */
    static WatchBudget of(boolean onRequest, long graceUs) {
        long stepMs =
                TimeUnit.MICROSECONDS.toMillis(graceUs - ListLease.MAX_STALL_US) / PUSHED_STEPS;
        long pushedStepMs = Math.max(MIN_PUSHED_STEP_MS, Math.min(stepMs, MAX_CONNECT_TIMEOUT_MS));
        return new WatchBudget(
                EMPTY_LINE_INTERVAL_MS + EMPTY_LINE_MARGIN_MS,
                INITIAL_MESSAGE_TIMEOUT_MS,
                onRequest
                        ? INITIAL_MESSAGE_TIMEOUT_MS << MAX_DOUBLINGS
                        : INITIAL_MESSAGE_TIMEOUT_MS,
                onRequest ? MAX_CONNECT_TIMEOUT_MS : pushedStepMs,
                pushedStepMs);
    }
}
