package passhatch;

import java.util.ArrayDeque;
import passhatch.Balancer.ListFreshness;
import passhatch.Balancer.Rules;

/**
 * Tracks until when the list of servers may be used without confirmation by discovery. This process
 * is deemed notified of a change some time after the change was made, even if the notice never
 * arrived; from then on a server that the change takes out of use may be sent requests for the
 * drain grace only. So the list is held as a lease: it is valid while a watch is alive, and expires
 * after that. While discovery gives no sign that it can be reached, a server that accepted a
 * request a moment ago may be used without a list.
 *
 * <p>The class reads no clock; all times are in microseconds of one clock.
 */
public final class ListLease {

    /** This process is deemed notified this long after discovery had a change, arrived or not. */
    public static final long NOTIFY_TIMEOUT_US = 6_000_000;

    /**
     * After a change of discovery's address this process is deemed notified within this time of all
     * that discovery has, and of each change that it gets within as much time after the address
     * change.
     */
    public static final long ADDRESS_CHANGE_NOTIFY_TIMEOUT_US = 4_000_000;

    /** The process may be stalled for this long between reading its clock and a read or a write. */
    public static final long MAX_STALL_US = 150_000;

    /**
     * After this time a process that could not reach discovery since its start uses the list that
     * it was given: it has to serve within 10 s of its start, of which 3 s are for the start
     * itself.
     */
    public static final long UNCONFIRMED_START_TIMEOUT_US = 7_000_000;

    /**
     * For how long an accepted request is a sign that the server does not drain. A draining server
     * may go on accepting, for longer than this in some deployments.
     */
    private static final long ACCEPTANCE_VALIDITY_US = 1_200_000;

    /** Time of an event that has not happened. */
    static final long NEVER = Long.MIN_VALUE;

    private static final long NOT_PENDING = Long.MAX_VALUE;

    private final long drainGraceUs;
    private final long notifyTimeoutUs;
    private long watchedUntilUs = NEVER;
    private long currentAsOfUs = NEVER;
    private long rememberedListUsableFromUs = Long.MAX_VALUE;
    private long pendingSinceUs = NOT_PENDING;
    private long unreadSinceUs = NOT_PENDING;
    private long lastAcceptedSendUs = NEVER;

    /** Whether discovery has shown that it is alive since the list was last confirmed. */
    private boolean discoveryAlive;

    /** A change of discovery's address at some time between the two. */
    private record AddressChange(long earliestUs, long latestUs) {}

    /** Oldest first, without those that no longer affect when a change is deemed notified. */
    private final ArrayDeque<AddressChange> addressChanges = new ArrayDeque<>();

    private ListLease(long drainGraceUs, long notifyTimeoutUs) {
        this.drainGraceUs = drainGraceUs;
        this.notifyTimeoutUs = notifyTimeoutUs;
    }

    /**
     * Returns a lease that holds no list yet.
     *
     * @param asked whether discovery has to be asked for changes
     */
    static ListLease of(Rules rules, boolean asked) {
        long askingUs = asked && rules.askWithinUs() > 0 ? rules.askWithinUs() : NOTIFY_TIMEOUT_US;
        return new ListLease(rules.drainGraceUs(), Math.min(askingUs, NOTIFY_TIMEOUT_US));
    }

    /** Starts from a list of unknown age. */
    void startFromRememberedList(long nowUs) {
        rememberedListUsableFromUs = nowUs + UNCONFIRMED_START_TIMEOUT_US;
    }

    /**
     * Records that discovery can be reached; this process is then deemed notified of what discovery
     * has, even if that does not arrive.
     */
    void discoveryReached() {
        rememberedListUsableFromUs = Long.MAX_VALUE;
    }

    /** Starts from a list that was current until now. */
    void startFromRecentList(long nowUs) {
        currentAsOfUs = nowUs;
    }

    /** Records that discovery sent the list or changes to it, or confirmed that there are none. */
    void confirm(ListFreshness freshness) {
        watchedUntilUs = freshness.watchedUntilUs();
        pendingSinceUs = NOT_PENDING;
        discoveryAlive = false;
        setCurrentAsOf(freshness.asOfUs());
    }

    /**
     * Records that discovery began to send something at this time that is not applied; it is deemed
     * notified.
     */
    void markPending(long sinceUs) {
        pendingSinceUs = Math.min(pendingSinceUs, sinceUs);
    }

    /**
     * Records that discovery rejected a call at once: it is alive, and this process is deemed
     * notified of what it has.
     */
    void discoveryRejectedCall() {
        discoveryAlive = true;
    }

    /** Records that a server accepted a request that was sent at this time. */
    void requestAccepted(long sentUs) {
        lastAcceptedSendUs = Math.max(lastAcceptedSendUs, sentUs);
    }

    /**
     * Records that nothing was read since this time; changes sent meanwhile are deemed notified.
     */
    void markUnread(long sinceUs) {
        unreadSinceUs = Math.min(unreadSinceUs, sinceUs);
    }

    /** Records that all that discovery sent by now has been read. */
    void markRead() {
        unreadSinceUs = NOT_PENDING;
    }

    /** Records that no watch is alive any more, so that changes may be missed. */
    void watchLost(long nowUs) {
        if (watchedUntilUs == Long.MAX_VALUE) {
            // A watch without an end reports when it breaks, so all changes up to now have arrived.
            setCurrentAsOf(nowUs);
        }
        watchedUntilUs = NEVER;
    }

    /** Records that all changes deemed notified by this time are in the list. */
    private void setCurrentAsOf(long timeUs) {
        currentAsOfUs = Math.max(currentAsOfUs, timeUs);
        while (!addressChanges.isEmpty()
                && addressChanges.peek().latestUs + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US
                        < currentAsOfUs) {
            addressChanges.poll();
        }
    }

    /**
     * Records that discovery has another address from now on; each address change counts
     * separately. A process that was stalled knows only two times between which it happened.
     */
    void addressChanged(long earliestUs, long latestUs) {
        watchLost(latestUs);
        addressChanges.add(new AddressChange(earliestUs, latestUs));
    }

    /** Returns whether any server may be sent requests. */
    boolean anyServerUsable(long nowUs) {
        return usable(nowUs, lastAcceptedSendUs);
    }

    /**
     * Returns whether a server may be sent requests.
     *
     * @param acceptedUs when the latest request that the server accepted was sent, or {@link
     *     #NEVER}
     */
    boolean usable(long nowUs, long acceptedUs) {
        return nowUs < sendDeadlineUs(Math.min(pendingSinceUs, unreadSinceUs))
                && (usableByList(nowUs) || usableByAcceptance(nowUs, acceptedUs));
    }

    /** Returns whether servers may be sent requests by the list alone. */
    boolean usable(long nowUs) {
        return usable(nowUs, NEVER);
    }

    private boolean usableByList(long nowUs) {
        return nowUs < watchedUntilUs || nowUs < listUsableUntilUs(nowUs);
    }

    /**
     * Returns whether a server may be used because it accepted a request a moment ago. Not so after
     * an address change: this process is then soon deemed notified of what discovery has, whether
     * discovery can be reached or not.
     */
    private boolean usableByAcceptance(long nowUs, long acceptedUs) {
        return acceptedUs != NEVER
                && !discoveryAlive
                && addressChanges.isEmpty()
                && nowUs < acceptedUs + ACCEPTANCE_VALIDITY_US - MAX_STALL_US
                && nowUs < sendDeadlineUs(acceptedUs + notifyTimeoutUs);
    }

    private long listUsableUntilUs(long nowUs) {
        long fromUs = currentAsOfUs == NEVER ? rememberedListUsableFromUs : currentAsOfUs;
        return fromUs > nowUs ? NEVER : sendDeadlineUs(earliestNotifiedAtUs(fromUs));
    }

    /** Returns by when a send to a server must be decided once its drain is deemed notified. */
    private long sendDeadlineUs(long notifiedAtUs) {
        return notifiedAtUs == NOT_PENDING
                ? notifiedAtUs
                : notifiedAtUs + drainGraceUs - 2 * MAX_STALL_US;
    }

    /** Returns the earliest time at which a change after the given time may be deemed notified. */
    private long earliestNotifiedAtUs(long changedAfterUs) {
        long notifiedAtUs = changedAfterUs + notifyTimeoutUs;
        if (addressChanges.isEmpty()) {
            return notifiedAtUs;
        }
        long changedUs = Math.max(addressChanges.peek().earliestUs, changedAfterUs);
        return Math.min(notifiedAtUs, changedUs + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US);
    }
}
