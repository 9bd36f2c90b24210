package passhatch.lab.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import passhatch.lab.drain.DrainRecord.AddressChange;
import passhatch.lab.drain.DrainRecord.Call;
import passhatch.lab.drain.DrainRecord.Change;
import passhatch.lab.drain.DrainRecord.Outage;
import passhatch.lab.drain.DrainRecord.Send;
import passhatch.lab.drain.DrainRecord.WrittenVersion;

/**
 * Finds requests that were sent to a draining or removed server after the drain grace. The grace
 * starts when the proxy is deemed notified of the change of the server. That time is the earliest
 * one that any rule of the specification gives. The checker is independent of the proxy's
 * implementation, and the same record always gives the same result.
 */
public final class DrainChecker {

    /**
     * Maximum time until a proxy is deemed notified of a change, counted from when discovery has
     * the change and is reachable.
     */
    private static final long NOTIFY_TIMEOUT_US = 6_000_000;

    /**
     * Time from the moment a watch falls silent until its proxy is deemed notified of the changes
     * that the watch misses.
     */
    private static final long SILENT_WATCH_NOTIFY_TIMEOUT_US = 6_000_000;

    /**
     * Time within which a proxy to which lists are pushed has to notice that its watch fell silent:
     * the interval of the empty lines on a watch, and a margin of 1 s. The specification allows
     * {@link #SILENT_WATCH_NOTIFY_TIMEOUT_US}.
     */
    private static final long SILENCE_DETECTION_TIMEOUT_US = 3_000_000;

    /**
     * Time from the signal that discovery's address has changed until the proxy is deemed notified
     * of all changes that discovery has.
     */
    private static final long ADDRESS_CHANGE_NOTIFY_TIMEOUT_US = 4_000_000;

    /**
     * Number of ask intervals for which a proxy may use its list after a failed call to discovery.
     * An ask interval is the time for which a proxy without a watch may use its list otherwise.
     */
    private static final long MAX_ASK_INTERVALS_AFTER_FAILED_CALL = 4;

    /** A rule of the specification by which a proxy is deemed notified of a change. */
    public enum NotificationRule {
        /** The change was written on a watch or in a response, whether the proxy read it or not. */
        WRITTEN,
        /**
         * A proxy is deemed notified 6 s after discovery had the change and was reachable, whatever
         * else failed.
         */
        REACHABLE,
        /**
         * A proxy is deemed notified 6 s after the watch that misses the change fell silent, but
         * not before the change.
         */
        SILENT_WATCH,
        /**
         * A proxy without a watch is deemed notified one ask interval after the change or after its
         * last call, whichever is later. If that call failed, the time is four ask intervals
         * instead of one.
         */
        ASKING_TIME,
        /**
         * A proxy is deemed notified 4 s after the signal that discovery's address has changed, or
         * 4 s after a change that was made within 4 s of that signal.
         */
        MOVED,
        /**
         * If lists are pushed, a proxy is deemed notified at the time of the change. If discovery
         * is unreachable at that time, the proxy is deemed notified at the end of the outage. If
         * the proxy's open watch has fallen silent, it is deemed notified once it has to have
         * noticed that.
         */
        PUSHED
    }

    /**
     * The time at which a proxy is deemed notified of a change, and the rule that gives this time.
     */
    private record Notification(long atUs, NotificationRule rule) {}

    /**
     * A request that was sent to a server that was out of use, after the drain grace.
     *
     * @param change the change that took the server out of use
     * @param notifiedUs when the proxy was deemed notified of that change
     * @param rule the rule that gives this time
     */
    public record LateSend(Send send, Change change, long notifiedUs, NotificationRule rule) {
        @Override
        public String toString() {
            return String.format(
                    "%.3f s: %s sent to %s %.3f s after its change of %.3f s counted as told (%s)",
                    send.atUs() / 1e6,
                    send.proxy(),
                    send.server(),
                    (send.atUs() - notifiedUs) / 1e6,
                    change.atUs() / 1e6,
                    rule);
        }
    }

    private final DrainRecord record;
    private final Map<String, List<Change>> changesByServer = new HashMap<>();

    private DrainChecker(DrainRecord record) {
        this.record = record;
        for (Change change : record.changes) {
            changesByServer.computeIfAbsent(change.server(), s -> new ArrayList<>()).add(change);
        }
    }

    /**
     * Returns all requests of the record that were sent after the drain grace, in the order of
     * their times.
     */
    public static List<LateSend> check(DrainRecord record) {
        return new DrainChecker(record).findLateSends();
    }

    /**
     * Counts the cases in which a proxy is deemed notified that a server was taken out of use
     * before discovery has written the change to the proxy; it may never write it. A change counts
     * once for each such proxy. A run without any such case does not exercise the rules other than
     * {@link NotificationRule#WRITTEN}.
     */
    public static int countNotifiedBeforeWritten(DrainRecord record) {
        DrainChecker checker = new DrainChecker(record);
        List<String> proxies = record.calls.stream().map(Call::proxy).distinct().toList();
        int count = 0;
        for (Change change : record.changes) {
            for (String proxy : proxies) {
                boolean written =
                        checker.writtenUs(change, proxy)
                                <= checker.findNotification(change, proxy).atUs();
                count += change.up() || written ? 0 : 1;
            }
        }
        return count;
    }

    private List<LateSend> findLateSends() {
        List<LateSend> late = new ArrayList<>();
        for (Send send : record.sends) {
            Change change = findOutOfUseChange(send);
            if (change == null || send.atUs() < change.atUs() + record.rules.graceUs()) {
                continue;
            }
            Notification notification = findNotification(change, send.proxy());
            if (send.atUs() >= notification.atUs() + record.rules.graceUs()) {
                late.add(new LateSend(send, change, notification.atUs(), notification.rule()));
            }
        }
        return late;
    }

    /**
     * Returns the change since which the request's server may not be used; null if the server may
     * be used.
     */
    private Change findOutOfUseChange(Send send) {
        Change since = null;
        for (Change change : changesByServer.getOrDefault(send.server(), List.of())) {
            if (change.atUs() > send.atUs()) {
                break;
            }
            if (change.up()) {
                since = null;
            } else if (since == null) {
                since = change;
            }
        }
        return since;
    }

    /**
     * Returns the earliest time at which any rule deems a proxy notified of a change, with that
     * rule.
     */
    private Notification findNotification(Change change, String proxy) {
        long reachableUs = reachableFromUs(change.atUs());
        Notification earliest =
                new Notification(reachableUs + NOTIFY_TIMEOUT_US, NotificationRule.REACHABLE);
        if (record.rules.pushed()) {
            earliest =
                    earlier(
                            earliest,
                            pushedNotifiedUs(change, proxy, reachableUs),
                            NotificationRule.PUSHED);
        } else {
            earliest = earlier(earliest, writtenUs(change, proxy), NotificationRule.WRITTEN);
            earliest =
                    earlier(
                            earliest,
                            askIntervalNotifiedUs(change, proxy),
                            NotificationRule.ASKING_TIME);
        }
        earliest =
                earlier(
                        earliest,
                        silentWatchNotifiedUs(change, proxy),
                        NotificationRule.SILENT_WATCH);
        return earlier(earliest, addressChangeNotifiedUs(change, proxy), NotificationRule.MOVED);
    }

    private static Notification earlier(Notification current, long atUs, NotificationRule rule) {
        return atUs < current.atUs() ? new Notification(atUs, rule) : current;
    }

    private long reachableFromUs(long timeUs) {
        for (Outage outage : record.outages) {
            if (outage.fromUs() <= timeUs && timeUs < outage.untilUs()) {
                return outage.untilUs();
            }
        }
        return timeUs;
    }

    private long writtenUs(Change change, String proxy) {
        for (WrittenVersion written : record.writtenVersions) {
            if (written.proxy().equals(proxy) && written.version() >= change.version()) {
                return written.atUs();
            }
        }
        return DrainRecord.NEVER;
    }

    /**
     * Returns the time at which a proxy to which lists are pushed is deemed notified of a change,
     * in microseconds: as soon as discovery can be reached or, if its watch has fallen silent, once
     * it has to have noticed that or has ended the watch.
     */
    private long pushedNotifiedUs(Change change, String proxy, long reachableUs) {
        long notifiedUs = reachableUs;
        for (Call call : record.calls) {
            if (call.responseUs() <= call.silentFromUs()
                    && isMissedBySilentCall(change, proxy, call)) {
                long noticedUs =
                        Math.min(
                                call.endedUs(), call.silentFromUs() + SILENCE_DETECTION_TIMEOUT_US);
                notifiedUs = Math.max(notifiedUs, noticedUs);
            }
        }
        return notifiedUs;
    }

    /** Returns whether a proxy's call has fallen silent before a change and was in use then. */
    private boolean isMissedBySilentCall(Change change, String proxy, Call call) {
        return call.proxy().equals(proxy)
                && call.silentFromUs() <= change.atUs()
                && change.atUs() < Math.min(call.endedUs(), laterResponseUs(call));
    }

    /**
     * Returns the time at which the proxy is deemed notified of a change that a silent watch
     * misses, in microseconds. A watch misses all changes from the moment it falls silent until the
     * watch ends or a later call gets a response.
     */
    private long silentWatchNotifiedUs(Change change, String proxy) {
        long notifiedUs = DrainRecord.NEVER;
        for (Call call : record.calls) {
            if (isMissedBySilentCall(change, proxy, call)) {
                notifiedUs =
                        Math.min(
                                notifiedUs,
                                Math.max(
                                        change.atUs(),
                                        call.silentFromUs() + SILENT_WATCH_NOTIFY_TIMEOUT_US));
            }
        }
        return notifiedUs;
    }

    private long laterResponseUs(Call call) {
        return record.calls.stream()
                .filter(c -> c.proxy().equals(call.proxy()) && c.startedUs() > call.startedUs())
                .mapToLong(Call::responseUs)
                .min()
                .orElse(DrainRecord.NEVER);
    }

    /**
     * Returns the time at which a proxy without a watch is deemed notified of a change, in
     * microseconds. The ask interval starts at the change or at the proxy's last call, whichever is
     * later.
     */
    private long askIntervalNotifiedUs(Change change, String proxy) {
        long askIntervalUs = record.rules.askEveryUs();
        List<Call> calls =
                record.calls.stream()
                        .filter(c -> c.proxy().equals(proxy))
                        .sorted(Comparator.comparingLong(Call::startedUs))
                        .toList();
        for (int i = 0; i < calls.size() && askIntervalUs > 0; i++) {
            Call last = calls.get(i);
            long validUs =
                    last.failed()
                            ? MAX_ASK_INTERVALS_AFTER_FAILED_CALL * askIntervalUs
                            : askIntervalUs;
            long notifiedUs = Math.max(last.startedUs(), change.atUs()) + validUs;
            long nextUs = i + 1 < calls.size() ? calls.get(i + 1).startedUs() : DrainRecord.NEVER;
            boolean watched = last.responseUs() <= notifiedUs && notifiedUs < last.endedUs();
            if (notifiedUs < nextUs && !watched) {
                return notifiedUs;
            }
        }
        return DrainRecord.NEVER;
    }

    /**
     * Returns the time at which the proxy is deemed notified of a change because discovery's
     * address has changed, in microseconds. Each signal counts by itself: for a change made before
     * the signal the time is 4 s after the signal, and for a change made within 4 s after the
     * signal it is 4 s after the change.
     */
    private long addressChangeNotifiedUs(Change change, String proxy) {
        for (AddressChange signal : record.addressChanges) {
            if (signal.proxy().equals(proxy)
                    && change.atUs() <= signal.atUs() + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US) {
                return Math.max(signal.atUs(), change.atUs()) + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US;
            }
        }
        return DrainRecord.NEVER;
    }
}
