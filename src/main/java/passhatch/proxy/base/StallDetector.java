package passhatch.proxy.base;

/**
 * Measures how long the event loop was stalled, by its own work or because the process got no CPU
 * time. It compares the times of a regular tick with its interval. It has no clock of its own; all
 * times are microseconds of one {@link Clock}.
 */
public final class StallDetector {

    /** Interval between two ticks of the event loop. */
    public static final long TICK_INTERVAL_US = 10_000;

    /** Delay of a tick that is not a stall: timers fire up to one or two milliseconds late. */
    private static final long TICK_MARGIN_US = 2_000;

    /**
     * A client accepts a response up to half a second after its deadline, so shorter stalls need no
     * allowance. A tenth of a second is kept for the response's own delay.
     */
    private static final long IGNORED_STALL_US = 400_000;

    /**
     * How long another stall of the same length is expected: an overload of the machine lasts for
     * seconds.
     */
    private static final long STALL_MEMORY_US = 10_000_000;

    private long nextTickUs;
    private long stalledUs;
    private long maxStallUs;
    private long maxStallAtUs;

    /** Expects a tick every {@link #TICK_INTERVAL_US} from now on. */
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
     * Returns how long a request that is read now may have been waiting unread. Its client's time
     * runs from the moment it was sent, also while this process was stalled and read nothing. The
     * tick may run before the loop reads what arrived meanwhile, so its delay counts until the next
     * tick.
     */
    public long unreadUs(long nowUs) {
        return Math.max(stalledUs, tickDelayUs(nowUs));
    }

    /**
     * Returns how long before its deadline a request should get its response, so that another stall
     * as long as the longest of the last ten seconds does not make the client count it as lost; 0
     * if no stall was that long.
     */
    public long responseMarginUs() {
        return Math.max(0, maxStallUs - IGNORED_STALL_US);
    }
}
