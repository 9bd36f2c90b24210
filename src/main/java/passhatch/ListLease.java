package passhatch;

import java.util.ArrayDeque;
import passhatch.Balancer.ListFreshness;
import passhatch.Balancer.Rules;

/**
 * Tracks how long the list of servers may be used without confirmation by discovery. Some time
 * after a change was made, this process is deemed notified of it, even if the notice never arrived.
 * If the change takes a server out of use, requests may be sent to that server only until the drain
 * grace has passed since that time. So this process holds a lease on the list: the lease is valid
 * while a watch is alive, and expires some time after the watch has ended. Only discovery's own
 * messages renew it: a server that accepts requests may drain or be removed all the same.
 *
 * <p>Where this process must ask for changes, the lease outlasts the watch by some seconds. Where
 * lists are pushed, this process is deemed notified of each change at the time of the change,
 * whether a watch is open or not. Without a watch, no missed change can be excluded, so the lease
 * then expires the drain grace after the last time as of which the list is known to be current.
 *
 * <p>The class reads no clock; all times are in microseconds of one clock.
 */
public final class ListLease {

    /**
     * How long after discovery had a change a process that must ask for changes is deemed notified
     * of that change at the latest, whether or not a notice arrived.
     */
    public static final long NOTIFY_TIMEOUT_US = 6_000_000;

    /** The same time where lists are pushed. */
    private static final long PUSHED_NOTIFY_TIMEOUT_US = 0;

    /**
     * Within this time after a change of discovery's address, this process is deemed notified of
     * all changes that discovery had by then. If discovery gets a change up to this long after the
     * address change, this process is deemed notified of that change within this time after
     * discovery got it.
     */
    public static final long ADDRESS_CHANGE_NOTIFY_TIMEOUT_US = 4_000_000;

    /**
     * Maximum stall of this process between reading its clock and the read or write that follows.
     */
    public static final long MAX_STALL_US = 150_000;

    /**
     * Time after which a process that must ask for changes and could not reach discovery uses the
     * list given to it at its start. The process has to serve within 10 s of its start, of which 3
     * s are for the start itself.
     */
    public static final long UNCONFIRMED_START_TIMEOUT_US = 7_000_000;

    /** Value of the time of an event that has not happened. */
    private static final long NEVER = Long.MIN_VALUE;

    private static final long NOT_PENDING = Long.MAX_VALUE;

    private final long drainGraceUs;
    private final long notifyTimeoutUs;

    /** Whether a list remembered from before the start may ever be used without confirmation. */
    private final boolean usesUnconfirmedList;

    private long watchedUntilUs = NEVER;
    private long currentAsOfUs = NEVER;
    private long rememberedListUsableFromUs = Long.MAX_VALUE;
    private long pendingSinceUs = NOT_PENDING;
    private long unreadSinceUs = NOT_PENDING;

    /** A change of discovery's address at some time between two known times. */
    private record AddressChange(long earliestUs, long latestUs) {}

    /**
     * Address changes, oldest first, that still affect when this process is deemed notified of a
     * change.
     */
    private final ArrayDeque<AddressChange> addressChanges = new ArrayDeque<>();

    private ListLease(long drainGraceUs, long notifyTimeoutUs, boolean usesUnconfirmedList) {
        this.drainGraceUs = drainGraceUs;
        this.notifyTimeoutUs = notifyTimeoutUs;
        this.usesUnconfirmedList = usesUnconfirmedList;
    }

    /**
     * Returns a lease for a process that has no list of servers yet.
     *
     * @param mustAsk whether this process must ask discovery for changes; false if lists are pushed
     */
    static ListLease of(Rules rules, boolean mustAsk) {
        if (!mustAsk) {
            return new ListLease(rules.drainGraceUs(), PUSHED_NOTIFY_TIMEOUT_US, false);
        }
        long maxDelayUs = rules.askWithinUs() > 0 ? rules.askWithinUs() : NOTIFY_TIMEOUT_US;
        return new ListLease(rules.drainGraceUs(), Math.min(maxDelayUs, NOTIFY_TIMEOUT_US), true);
    }

    /**
     * Starts the lease with a list of unknown age. Where lists are pushed, this process is deemed
     * notified of all changes from its start, so the list is not used until it is confirmed.
     */
    void startFromRememberedList(long nowUs) {
        if (usesUnconfirmedList) {
            rememberedListUsableFromUs = nowUs + UNCONFIRMED_START_TIMEOUT_US;
        }
    }

    /**
     * Records that discovery can be reached. From then on, a list remembered from before the start
     * is not used unless discovery confirms it, as this process is deemed notified of all that
     * discovery has.
     */
    void discoveryReached() {
        rememberedListUsableFromUs = Long.MAX_VALUE;
    }

    /** Starts the lease with a list that was current until now. */
    void startFromRecentList(long nowUs) {
        currentAsOfUs = nowUs;
    }

    /** Records that discovery sent the list or changes to it, or confirmed that there are none. */
    void confirm(ListFreshness freshness) {
        watchedUntilUs = freshness.watchedUntilUs();
        pendingSinceUs = NOT_PENDING;
        setCurrentAsOf(freshness.asOfUs());
    }

    /**
     * Records that discovery began at the given time to send a message that this process has not
     * applied. This process is deemed notified of the changes in that message.
     */
    void markPending(long sinceUs) {
        pendingSinceUs = Math.min(pendingSinceUs, sinceUs);
    }

    /**
     * Records that this process has read nothing from discovery since the given time. This process
     * is deemed notified of the changes that discovery sent after that time.
     */
    void markUnread(long sinceUs) {
        unreadSinceUs = Math.min(unreadSinceUs, sinceUs);
    }

    /** Records that this process has read everything that discovery sent. */
    void markRead() {
        unreadSinceUs = NOT_PENDING;
    }

    /** Records that the watch has ended, so that changes may be missed from now on. */
    void watchLost(long nowUs) {
        if (watchedUntilUs == Long.MAX_VALUE) {
            // A watch without an end reports when it breaks, so all changes up to now have arrived.
            setCurrentAsOf(nowUs);
        }
        watchedUntilUs = NEVER;
    }

    /** Records that the list has all changes that discovery had by the given time. */
    private void setCurrentAsOf(long timeUs) {
        currentAsOfUs = Math.max(currentAsOfUs, timeUs);
        while (!addressChanges.isEmpty()
                && addressChanges.peek().latestUs + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US
                        < currentAsOfUs) {
            addressChanges.poll();
        }
    }

    /**
     * Records that discovery has a new address. A process that was stalled knows only two times
     * between which the address changed. Each address change counts separately.
     */
    void addressChanged(long earliestUs, long latestUs) {
        watchLost(latestUs);
        addressChanges.add(new AddressChange(earliestUs, latestUs));
    }

    /** Returns whether requests may be sent to the listed servers. */
    boolean usable(long nowUs) {
        return nowUs < sendDeadlineUs(Math.min(pendingSinceUs, unreadSinceUs))
                && (nowUs < watchedUntilUs || nowUs < listUsableUntilUs(nowUs));
    }

    private long listUsableUntilUs(long nowUs) {
        long fromUs = currentAsOfUs == NEVER ? rememberedListUsableFromUs : currentAsOfUs;
        return fromUs > nowUs ? NEVER : sendDeadlineUs(earliestNotifiedAtUs(fromUs));
    }

    /**
     * Returns until when requests may be sent to a server, given the time at which this process is
     * deemed notified of the server's drain.
     */
    private long sendDeadlineUs(long notifiedAtUs) {
        return notifiedAtUs == NOT_PENDING
                ? notifiedAtUs
                : notifiedAtUs + drainGraceUs - 2 * MAX_STALL_US;
    }

    /**
     * Returns the earliest time at which this process may be deemed notified of a change made after
     * the given time.
     */
    private long earliestNotifiedAtUs(long changedAfterUs) {
        long notifiedAtUs = changedAfterUs + notifyTimeoutUs;
        if (addressChanges.isEmpty()) {
            return notifiedAtUs;
        }
        long addressChangedUs = Math.max(addressChanges.peek().earliestUs, changedAfterUs);
        return Math.min(notifiedAtUs, addressChangedUs + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US);
    }
}
