package passhatch.proxy;

import passhatch.proxy.base.Clock;
import passhatch.proxy.base.StallDetector;

/** Decides when the responses to requests are due. All times are in microseconds. */
final class ResponseDeadlines {

    /**
     * A response is due this long before the client's deadline, to allow for the time on the
     * network and for delays of the event loop. For a short deadline the margin is only a fraction
     * of the time that the client allows.
     */
    private static final long RESPONSE_MARGIN_US = 20_000;

    private static final long RESPONSE_MARGIN_DIVISOR = 8;

    /**
     * After a stall, responses are due earlier, to allow for another stall. This allowance is at
     * most the time that the client allows, divided by this number.
     */
    private static final long STALL_ALLOWANCE_DIVISOR = 4;

    private final Clock clock;
    private final StallDetector stallDetector;

    /**
     * Latest time at which a response is due, for every request whose deadline starts from now on;
     * {@code Long.MAX_VALUE} until {@link #limit} sets a limit.
     */
    private long latestDeadlineUs = Long.MAX_VALUE;

    ResponseDeadlines(Clock clock, StallDetector stallDetector) {
        this.clock = clock;
        this.stallDetector = stallDetector;
    }

    /** Sets the time within which every request whose deadline starts from now on is answered. */
    void limit(long timeoutUs) {
        latestDeadlineUs = clock.nowUs() + timeoutUs;
    }

    /**
     * Returns when the response to a request is due that has been received completely.
     *
     * @param budgetUs the time that the client allows
     * @param unreadUs how long the request's last byte has waited
     */
    long dueUs(long budgetUs, long unreadUs) {
        return Math.min(dueWithoutLimitUs(budgetUs, unreadUs), latestDeadlineUs);
    }

    /**
     * Returns when the response is due, whether or not a limit is set.
     *
     * @param budgetUs the time that the client allows
     * @param unreadUs how long the request's last byte may have waited
     */
    long dueWithoutLimitUs(long budgetUs, long unreadUs) {
        // Stalls cannot be predicted, so after a recent stall the response is due sooner, to
        // allow for another stall of that length. The time that the client allows limits this
        // allowance.
        long marginUs =
                Math.min(RESPONSE_MARGIN_US, budgetUs / RESPONSE_MARGIN_DIVISOR)
                        + Math.min(
                                stallDetector.responseMarginUs(),
                                budgetUs / STALL_ALLOWANCE_DIVISOR);
        return clock.nowUs() + budgetUs - unreadUs - marginUs;
    }
}
