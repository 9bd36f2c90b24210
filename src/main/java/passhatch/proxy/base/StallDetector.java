package passhatch.proxy.base;

/**
 * Measures how long the event loop was stalled, by its own work or because the process got no CPU
 * time. It compares the time between two ticks of the event loop with the tick interval. It has no
 * clock of its own; all times are microseconds of one {@link Clock}.
 */
public final class StallDetector {

    /** Interval between two ticks of the event loop. */
    public static final long TICK_INTERVAL_US = 10_000;

    /**
     * A tick that is late by no more than this is not a sign of a stall: timers fire up to one or
     * two milliseconds late.
     */
    private static final long TICK_MARGIN_US = 2_000;

    /**
     * Stalls up to this length need no allowance. A client accepts a response up to half a second
     * after its deadline, and a tenth of a second of that is kept for the response's own delay.
     */
    private static final long IGNORED_STALL_US = 400_000;

    /**
     * Time after a stall during which another one of the same length is expected: an overload of
     * the machine lasts for seconds.
     */
    private static final long STALL_MEMORY_US = 10_000_000;

    private long nextTickUs;
    private long stalledUs;
    private long maxStallUs;
    private long maxStallAtUs;

    /** Creates a detector that expects a tick every {@link #TICK_INTERVAL_US} from now on. */
    public StallDetector(long nowUs) {
        nextTickUs = nowUs + TICK_INTERVAL_US;
        maxStallAtUs = nowUs;
    }

    /** Records a tick of the event loop. */
    public void tick(long nowUs) {
        stalledUs = tickDelayUs(nowUs);
        nextTickUs = nowUs + TICK_INTERVAL_US;
        if (stalledUs >= maxStallUs || nowUs - maxStallAtUs > STALL_MEMORY_US) {
            maxStallUs = stalledUs;
            maxStallAtUs = nowUs;
        }
    }

    /** Returns how late the next tick is by now, beyond the usual delay of timers. */
    private long tickDelayUs(long nowUs) {
        return Math.max(0, nowUs - nextTickUs - TICK_MARGIN_US);
    }

    /**
     * Returns the maximum time for which a message that is read now may have waited unread. The
     * client's time runs from the moment the request was sent, even while this process is stalled
     * and reads nothing. A late tick may run before the loop reads what arrived during the stall,
     * so the delay of that tick counts until the next tick.
     */
    public long unreadUs(long nowUs) {
        return Math.max(stalledUs, tickDelayUs(nowUs));
    }

    /**
     * Returns how much earlier a response should be due to allow for another stall as long as the
     * longest of the last ten seconds. Without this margin the client would count the request as
     * lost after such a stall. Returns 0 if every stall was too short for that.
     */
    public long responseMarginUs() {
        return Math.max(0, maxStallUs - IGNORED_STALL_US);
    }
}
