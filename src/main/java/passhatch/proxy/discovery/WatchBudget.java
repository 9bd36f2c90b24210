package passhatch.proxy.discovery;

import java.util.concurrent.TimeUnit;
import passhatch.ListLease;

/**
 * How the time is spent in which news of discovery has to be here, in milliseconds. Where a step
 * takes longer, the lease on the list runs out before a request can go to a server past its grace.
 *
 * @param silenceMs a watch that has told nothing for so long is taken for broken
 * @param firstAnswerMs a call that has told nothing by then is given up; doubled by each such call
 *     where discovery has to be asked
 * @param longestAnswerMs the longest time for an answer
 * @param connectMs a connection that is not up by then never will be
 * @param longestPauseMs between two calls after failures, where changes are pushed; else the module
 *     says when to call
 */
record WatchBudget(
        long silenceMs,
        long firstAnswerMs,
        long longestAnswerMs,
        long connectMs,
        long longestPauseMs) {

    /** A watch with nothing to tell says so by an empty line this often. */
    static final long EMPTY_LINE_EVERY_MS = 2_000;

    /** So much later an empty line may come. */
    private static final long EMPTY_LINE_SLACK_MS = 1_000;

    /** A call may wait its turn, and asking again sooner would only make the queue longer. */
    private static final long FIRST_ANSWER_MS = 3_500;

    private static final long DOUBLINGS = 3;

    private static final long ASKED_CONNECT_MS = 300;

    /**
     * Where changes are pushed, all that has gathered in an outage counts as told at its end. The
     * grace, less a hold-up, is shared by a pause, a connection that was tried before the end,
     * another pause, and the answer.
     */
    private static final long PUSHED_SHARES = 4;

    private static final long PUSHED_LEAST_MS = 50;

    /**
     * The budget of one proxy.
     *
     * @param asked whether discovery has to be asked for changes, or they are pushed
     * @param graceUs how long a server that drains may be sent requests, in microseconds
     */
    static WatchBudget of(boolean asked, long graceUs) {
        long shareMs =
                TimeUnit.MICROSECONDS.toMillis(graceUs - ListLease.MAX_STALL_US) / PUSHED_SHARES;
        long pushedMs = Math.max(PUSHED_LEAST_MS, Math.min(shareMs, ASKED_CONNECT_MS));
        return new WatchBudget(
                EMPTY_LINE_EVERY_MS + EMPTY_LINE_SLACK_MS,
                FIRST_ANSWER_MS,
                asked ? FIRST_ANSWER_MS << DOUBLINGS : FIRST_ANSWER_MS,
                asked ? ASKED_CONNECT_MS : pushedMs,
                pushedMs);
    }
}
