package passhatch;

import java.util.ArrayDeque;
import passhatch.Balancer.ListFreshness;
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
    public static final long NOTIFY_TIMEOUT_US = 6_000_000;

    /**
     * After a move to another address all that discovery has counts as told within this time, and
     * so does each change that it gets within as much time after the move.
     */
    public static final long ADDRESS_CHANGE_NOTIFY_TIMEOUT_US = 4_000_000;

    /** A process may be held up for so long between its clock and a read or a write. */
    public static final long MAX_STALL_US = 150_000;

    /**
     * A process that could not reach discovery since its start serves by the list that it was given
     * after this: it owes service within 10 s of its start, of which 3 s are for the start itself.
     */
    public static final long UNCONFIRMED_START_TIMEOUT_US = 7_000_000;

    /**
     * That a server accepts is taken for a sign that it does not drain for so long only: one that
     * drains may go on accepting, for longer than this in some deployments.
     */
    private static final long ACCEPTANCE_VALIDITY_US = 1_200_000;

    /** As the time of what has not happened. */
    static final long NEVER = Long.MIN_VALUE;

    private static final long NOT_PENDING = Long.MAX_VALUE;

    private final long drainGraceUs;
    private final long notifyTimeoutUs;
    private long watchedUntilUs = NEVER;
    private long currentAsOfUs = NEVER;
    private long rememberedListFromUs = Long.MAX_VALUE;
    private long pendingSinceUs = NOT_PENDING;
    private long unreadSinceUs = NOT_PENDING;
    private long lastAcceptedSendUs = NEVER;

    /** Discovery was seen to be there since the list was last confirmed. */
    private boolean discoveryAlive;

    /** A move of discovery, at some time between two. */
    private record AddressChange(long earliestUs, long latestUs) {}

    /** Oldest first; without moves that say nothing of later changes. */
    private final ArrayDeque<AddressChange> addressChanges = new ArrayDeque<>();

    private ListLease(long graceUs, long toldWithinUs) {
        this.drainGraceUs = graceUs;
        this.notifyTimeoutUs = toldWithinUs;
    }

    /**
     * A lease on no list yet.
     *
     * @param asked whether discovery has to be asked for changes
     */
    static ListLease of(Rules rules, boolean asked) {
        long askingUs = asked && rules.askWithinUs() > 0 ? rules.askWithinUs() : NOTIFY_TIMEOUT_US;
        return new ListLease(rules.drainGraceUs(), Math.min(askingUs, NOTIFY_TIMEOUT_US));
    }

    /** A list of unknown age was given at the start. */
    void startFromRememberedList(long nowUs) {
        rememberedListFromUs = nowUs + UNCONFIRMED_START_TIMEOUT_US;
    }

    /**
     * Discovery can be reached, so what it has to tell counts as told though it does not arrive.
     */
    void discoveryReached() {
        rememberedListFromUs = Long.MAX_VALUE;
    }

    /** A list that was current until now was given at the start. */
    void startFromRecentList(long nowUs) {
        currentAsOfUs = nowUs;
    }

    /** Discovery has told the list or changes to it, or that there are none. */
    void confirm(ListFreshness currency) {
        watchedUntilUs = currency.watchedUntilUs();
        pendingSinceUs = NOT_PENDING;
        discoveryAlive = false;
        setCurrentAsOf(currency.asOfUs());
    }

    /** Something was begun to be told at this time that is not taken in: it counts as told. */
    void markPending(long sinceUs) {
        pendingSinceUs = Math.min(pendingSinceUs, sinceUs);
    }

    /** Discovery has turned a call away at once: it is there, and what it has counts as told. */
    void discoveryRejectedCall() {
        discoveryAlive = true;
    }

    /** A server has accepted a request that was sent at this time. */
    void requestAccepted(long sentUs) {
        lastAcceptedSendUs = Math.max(lastAcceptedSendUs, sentUs);
    }

    /** Nothing was read since this time: what was told meanwhile counts as told. */
    void markUnread(long sinceUs) {
        unreadSinceUs = Math.min(unreadSinceUs, sinceUs);
    }

    /** All that was told by now has been read. */
    void markRead() {
        unreadSinceUs = NOT_PENDING;
    }

    /** No watch is alive any more: changes may be missed. */
    void watchLost(long nowUs) {
        if (watchedUntilUs == Long.MAX_VALUE) {
            // All up to now was told, as by a wire that says itself when it breaks.
            setCurrentAsOf(nowUs);
        }
        watchedUntilUs = NEVER;
    }

    /** What counted as told by then is in the list. */
    private void setCurrentAsOf(long timeUs) {
        currentAsOfUs = Math.max(currentAsOfUs, timeUs);
        while (!addressChanges.isEmpty()
                && addressChanges.peek().latestUs + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US
                        < currentAsOfUs) {
            addressChanges.poll();
        }
    }

    /**
     * Discovery is asked at another address from now on; each move counts by itself. A process that
     * was held up knows only between which two times that was.
     */
    void addressChanged(long earliestUs, long latestUs) {
        watchLost(latestUs);
        addressChanges.add(new AddressChange(earliestUs, latestUs));
    }

    /** Whether any server may be sent requests. */
    boolean anyServerUsable(long nowUs) {
        return usable(nowUs, lastAcceptedSendUs);
    }

    /**
     * Whether a server may be sent requests.
     *
     * @param acceptedUs when the latest request was sent that it accepted, or {@link #NEVER}
     */
    boolean usable(long nowUs, long acceptedUs) {
        return nowUs < sendDeadlineUs(Math.min(pendingSinceUs, unreadSinceUs))
                && (usableByList(nowUs) || usableByAcceptance(nowUs, acceptedUs));
    }

    /** Whether servers may be sent requests by the list alone. */
    boolean usable(long nowUs) {
        return usable(nowUs, NEVER);
    }

    private boolean usableByList(long nowUs) {
        return nowUs < watchedUntilUs || nowUs < usableUntilUs(nowUs);
    }

    /** After a move what discovery has counts as told soon, whether it can be reached or not. */
    private boolean usableByAcceptance(long nowUs, long acceptedUs) {
        return acceptedUs != NEVER
                && !discoveryAlive
                && addressChanges.isEmpty()
                && nowUs < acceptedUs + ACCEPTANCE_VALIDITY_US - MAX_STALL_US
                && nowUs < sendDeadlineUs(acceptedUs + notifyTimeoutUs);
    }

    private long usableUntilUs(long nowUs) {
        long fromUs = currentAsOfUs == NEVER ? rememberedListFromUs : currentAsOfUs;
        return fromUs > nowUs ? NEVER : sendDeadlineUs(notifiedAtUs(fromUs));
    }

    /** By when a request has to be decided on for a server that counts as told to drain. */
    private long sendDeadlineUs(long toldAtUs) {
        return toldAtUs == NOT_PENDING ? toldAtUs : toldAtUs + drainGraceUs - 2 * MAX_STALL_US;
    }

    /** When the first change after this time may count as told. */
    private long notifiedAtUs(long afterUs) {
        long toldAtUs = afterUs + notifyTimeoutUs;
        if (addressChanges.isEmpty()) {
            return toldAtUs;
        }
        long movedUs = Math.max(addressChanges.peek().earliestUs, afterUs);
        return Math.min(toldAtUs, movedUs + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US);
    }
}
