package passhatch.proxy.base;

/**
 * How long the loop was held up: by itself, or as the machine gave this process no time. It learns
 * that from a beat that should come at a fixed distance. No clock of its own; times are
 * microseconds of one {@link Clock}.
 */
public final class StallDetector {

    /** How often the loop beats. */
    public static final long TICK_INTERVAL_US = 10_000;

    /** Lateness of a beat that says nothing: timers fire up to a millisecond or two late. */
    private static final long TICK_MARGIN_US = 2_000;

    /**
     * A client takes an answer for half a second after its time before it counts the request as
     * lost: a hold-up of less than that needs no care. A tenth is for what the answer takes beside.
     */
    private static final long IGNORED_STALL_US = 400_000;

    /** A hold-up is taken to come again for so long: what fills the machine lasts for seconds. */
    private static final long STALL_MEMORY_US = 10_000_000;

    private long nextTickUs;
    private long stalledUs;
    private long maxStallUs;
    private long maxStallAtUs;

    /** From now on a beat is due every {@link #TICK_INTERVAL_US}. */
    public StallDetector(long nowUs) {
        nextTickUs = nowUs + TICK_INTERVAL_US;
        maxStallAtUs = nowUs;
    }

    /** The loop beats. */
    public void tick(long nowUs) {
        stalledUs = tickDelayUs(nowUs);
        nextTickUs = nowUs + TICK_INTERVAL_US;
        if (stalledUs >= maxStallUs || nowUs - maxStallAtUs > STALL_MEMORY_US) {
            maxStallUs = stalledUs;
            maxStallAtUs = nowUs;
        }
    }

    /** How late the next beat is already, where that is more than timers commonly are. */
    private long tickDelayUs(long nowUs) {
        return Math.max(0, nowUs - nextTickUs - TICK_MARGIN_US);
    }

    /**
     * How long a request read now may have stood unread: its client's time has run since it was
     * sent, also while this process was held up and read nothing. The loop may beat before it reads
     * what came meanwhile, so a beat's lateness counts until the next one.
     */
    public long unreadUs(long nowUs) {
        return Math.max(stalledUs, tickDelayUs(nowUs));
    }

    /**
     * How long before its time a request should be answered, so that one more hold-up as long as
     * the longest of the last ten seconds does not make its client count it as lost; 0 where none
     * was that long.
     */
    public long responseMarginUs() {
        return Math.max(0, maxStallUs - IGNORED_STALL_US);
    }
}
