package passhatch;

import java.util.ArrayDeque;
import passhatch.Balancer.ListCurrency;
import passhatch.Balancer.Rules;

/**
 * Until when servers may be sent requests by a list that discovery no longer confirms. A change
 * that did not arrive counts as told some time after it was made; from then on a server that it
 * takes out of use may be sent requests for the grace only. So a list is held as a lease: it is in
 * force while a watch is alive, and runs out after that. While discovery gives no sign that it can
 * be reached, a server that accepted a request a moment ago may be used without a list.
 *
 * <p>No clock of its own; all times are microseconds of one clock.
 */
public final class ListLease {

    /** What discovery has to tell counts as told this long after it had it, arrived or not. */
    public static final long TOLD_WITHIN_US = 6_000_000;

    /**
     * After a move to another address all that discovery has counts as told within this time, and
     * so does each change that it gets within as much time after the move.
     */
    public static final long MOVE_TOLD_WITHIN_US = 4_000_000;

    /** A process may be held up for so long between its clock and a read or a write. */
    public static final long HOLD_UP_US = 150_000;

    /**
     * A process that could not reach discovery since its start serves by the list that it was given
     * after this: it owes service within 10 s of its start, of which 3 s are for the start itself.
     */
    public static final long UNHEARD_START_US = 7_000_000;

    /**
     * That a server accepts is taken for a sign that it does not drain for so long only: one that
     * drains may go on accepting, for longer than this in some deployments.
     */
    private static final long ACCEPTED_FOR_US = 1_200_000;

    /** As the time of what has not happened. */
    static final long NEVER = Long.MIN_VALUE;

    private static final long NOTHING_PENDING = Long.MAX_VALUE;

    private final long graceUs;
    private final long toldWithinUs;
    private long watchedUntilUs = NEVER;
    private long currentAtUs = NEVER;
    private long grantedAtUs = Long.MAX_VALUE;
    private long pendingSinceUs = NOTHING_PENDING;
    private long unreadSinceUs = NOTHING_PENDING;
    private long lastAcceptedUs = NEVER;

    /** Discovery was seen to be there since the list was last confirmed. */
    private boolean discoveryThere;

    /** A move of discovery, at some time between two. */
    private record Move(long earliestUs, long latestUs) {}

    /** Oldest first; without moves that say nothing of later changes. */
    private final ArrayDeque<Move> moves = new ArrayDeque<>();

    private ListLease(long graceUs, long toldWithinUs) {
        this.graceUs = graceUs;
        this.toldWithinUs = toldWithinUs;
    }

    /**
     * A lease on no list yet.
     *
     * @param asked whether discovery has to be asked for changes
     */
    static ListLease of(Rules rules, boolean asked) {
        long askingUs = asked && rules.askWithinUs() > 0 ? rules.askWithinUs() : TOLD_WITHIN_US;
        return new ListLease(rules.drainGraceUs(), Math.min(askingUs, TOLD_WITHIN_US));
    }

    /** A list of unknown age was given at the start. */
    void remembered(long nowUs) {
        grantedAtUs = nowUs + UNHEARD_START_US;
    }

    /**
     * Discovery can be reached, so what it has to tell counts as told though it does not arrive.
     */
    void reached() {
        grantedAtUs = Long.MAX_VALUE;
    }

    /** A list that was current until now was given at the start. */
    void recent(long nowUs) {
        currentAtUs = nowUs;
    }

    /** Discovery has told the list or changes to it, or that there are none. */
    void current(ListCurrency currency) {
        watchedUntilUs = currency.watchedUntilUs();
        pendingSinceUs = NOTHING_PENDING;
        discoveryThere = false;
        currentAsOf(currency.asOfUs());
    }

    /** Something was begun to be told at this time that is not taken in: it counts as told. */
    void pending(long sinceUs) {
        pendingSinceUs = Math.min(pendingSinceUs, sinceUs);
    }

    /** Discovery has turned a call away at once: it is there, and what it has counts as told. */
    void turnedAway() {
        discoveryThere = true;
    }

    /** A server has accepted a request that was sent at this time. */
    void accepted(long sentUs) {
        lastAcceptedUs = Math.max(lastAcceptedUs, sentUs);
    }

    /** Nothing was read since this time: what was told meanwhile counts as told. */
    void unread(long sinceUs) {
        unreadSinceUs = Math.min(unreadSinceUs, sinceUs);
    }

    /** All that was told by now has been read. */
    void read() {
        unreadSinceUs = NOTHING_PENDING;
    }

    /** No watch is alive any more: changes may be missed. */
    void lost(long nowUs) {
        if (watchedUntilUs == Long.MAX_VALUE) {
            // All up to now was told, as by a wire that says itself when it breaks.
            currentAsOf(nowUs);
        }
        watchedUntilUs = NEVER;
    }

    /** What counted as told by then is in the list. */
    private void currentAsOf(long timeUs) {
        currentAtUs = Math.max(currentAtUs, timeUs);
        while (!moves.isEmpty() && moves.peek().latestUs + MOVE_TOLD_WITHIN_US < currentAtUs) {
            moves.poll();
        }
    }

    /**
     * Discovery is asked at another address from now on; each move counts by itself. A process that
     * was held up knows only between which two times that was.
     */
    void moved(long earliestUs, long latestUs) {
        lost(latestUs);
        moves.add(new Move(earliestUs, latestUs));
    }

    /** Whether any server may be sent requests. */
    boolean anyUsable(long nowUs) {
        return usable(nowUs, lastAcceptedUs);
    }

    /**
     * Whether a server may be sent requests.
     *
     * @param acceptedUs when the latest request was sent that it accepted, or {@link #NEVER}
     */
    boolean usable(long nowUs, long acceptedUs) {
        return nowUs < lastSendUs(Math.min(pendingSinceUs, unreadSinceUs))
                && (byList(nowUs) || byAcceptance(nowUs, acceptedUs));
    }

    /** Whether servers may be sent requests by the list alone. */
    boolean usable(long nowUs) {
        return usable(nowUs, NEVER);
    }

    private boolean byList(long nowUs) {
        return nowUs < watchedUntilUs || nowUs < usableUntilUs(nowUs);
    }

    /** After a move what discovery has counts as told soon, whether it can be reached or not. */
    private boolean byAcceptance(long nowUs, long acceptedUs) {
        return acceptedUs != NEVER
                && !discoveryThere
                && moves.isEmpty()
                && nowUs < acceptedUs + ACCEPTED_FOR_US - HOLD_UP_US
                && nowUs < lastSendUs(acceptedUs + toldWithinUs);
    }

    private long usableUntilUs(long nowUs) {
        long fromUs = currentAtUs == NEVER ? grantedAtUs : currentAtUs;
        return fromUs > nowUs ? NEVER : lastSendUs(toldAtUs(fromUs));
    }

    /** By when a request has to be decided on for a server that counts as told to drain. */
    private long lastSendUs(long toldAtUs) {
        return toldAtUs == NOTHING_PENDING ? toldAtUs : toldAtUs + graceUs - 2 * HOLD_UP_US;
    }

    /** When the first change after this time may count as told. */
    private long toldAtUs(long afterUs) {
        long toldAtUs = afterUs + toldWithinUs;
        if (moves.isEmpty()) {
            return toldAtUs;
        }
        long movedUs = Math.max(moves.peek().earliestUs, afterUs);
        return Math.min(toldAtUs, movedUs + MOVE_TOLD_WITHIN_US);
    }
}
