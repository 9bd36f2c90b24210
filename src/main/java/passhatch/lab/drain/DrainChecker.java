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
 * Finds requests that were sent to a draining or removed server after the grace. When a change
 * counts as told is worked out from the operators' pages alone, and of all sentences that fit the
 * earliest time holds; nothing here knows how a proxy keeps the rule. Pure: the same record gives
 * the same result.
 */
public final class DrainChecker {

    /** PROTOCOL, Figures: what discovery has to tell counts as told no later than this. */
    private static final long NOTIFY_TIMEOUT_US = 6_000_000;

    /** STANDING: what a watch misses counts as told this long after it fell silent. */
    private static final long SILENT_WATCH_NOTIFY_TIMEOUT_US = 6_000_000;

    /** TERMS, Reconfiguration: all that discovery has to report counts so long after the signal. */
    private static final long ADDRESS_CHANGE_NOTIFY_TIMEOUT_US = 4_000_000;

    /** STANDING: after a failed call a proxy is held to its list for this many asking times. */
    private static final long FAILED_CALL_ASK_INTERVALS = 4;

    /** A sentence of the pages by which a change counts as told. */
    public enum NotificationRule {
        /** Where discovery is asked: written on a watch or in an answer, read or not. */
        WRITTEN,
        /** 6 s after discovery had it and could be reached, whatever failed. */
        REACHABLE,
        /** 6 s after the watch that misses it fell silent. */
        SILENT_WATCH,
        /** No watch: so long after it was made as the settings give for asking. */
        ASKING_TIME,
        /** 4 s after the signal that discovery has moved, or after a change soon after it. */
        MOVED,
        /** Where lists are pushed: at once, or at discovery's return. */
        PUSHED
    }

    /** When a change counts as told, and why. */
    private record Notification(long atUs, NotificationRule rule) {}

    /**
     * A request that was sent too late.
     *
     * @param change since when its server may not be used
     * @param notifiedUs when that counted as told
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

    /** All requests of the record that were sent too late, in their order. */
    public static List<LateSend> check(DrainRecord record) {
        return new DrainChecker(record).findLateSends();
    }

    /**
     * How many changes that took a server out of use counted as told to some proxy of the record
     * without, or before, being written to it: a run without any shows nothing.
     */
    public static int countNotifiedUnwritten(DrainRecord record) {
        DrainChecker checker = new DrainChecker(record);
        List<String> proxies = record.calls.stream().map(Call::proxy).distinct().toList();
        int unheard = 0;
        for (Change change : record.changes) {
            for (String proxy : proxies) {
                boolean told =
                        checker.notificationOf(change, proxy).rule() == NotificationRule.WRITTEN;
                unheard += change.up() || told ? 0 : 1;
            }
        }
        return unheard;
    }

    private List<LateSend> findLateSends() {
        List<LateSend> late = new ArrayList<>();
        for (Send send : record.sends) {
            Change change = outOfUseSince(send);
            if (change == null || send.atUs() < change.atUs() + record.rules.graceUs()) {
                continue;
            }
            Notification told = notificationOf(change, send.proxy());
            if (send.atUs() >= told.atUs() + record.rules.graceUs()) {
                late.add(new LateSend(send, change, told.atUs(), told.rule()));
            }
        }
        return late;
    }

    /** Since when the server may not be used at the time of the send; null where it may. */
    private Change outOfUseSince(Send send) {
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

    /** The earliest of all sentences that fit. */
    private Notification notificationOf(Change change, String proxy) {
        long reachableUs = reachableFromUs(change.atUs());
        Notification told =
                new Notification(reachableUs + NOTIFY_TIMEOUT_US, NotificationRule.REACHABLE);
        if (record.rules.pushed()) {
            told = earlier(told, reachableUs, NotificationRule.PUSHED);
        } else {
            told = earlier(told, writtenUs(change, proxy), NotificationRule.WRITTEN);
            told =
                    earlier(
                            told,
                            askIntervalNotifiedUs(change, proxy),
                            NotificationRule.ASKING_TIME);
        }
        told = earlier(told, silentWatchNotifiedUs(change, proxy), NotificationRule.SILENT_WATCH);
        return earlier(told, addressChangeNotifiedUs(change, proxy), NotificationRule.MOVED);
    }

    private static Notification earlier(Notification told, long atUs, NotificationRule sentence) {
        return atUs < told.atUs() ? new Notification(atUs, sentence) : told;
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
        for (WrittenVersion one : record.writtenVersions) {
            if (one.proxy().equals(proxy) && one.version() >= change.version()) {
                return one.atUs();
            }
        }
        return DrainRecord.NEVER;
    }

    /**
     * A watch misses what comes after it fell silent, until it ends or a later call is answered.
     */
    private long silentWatchNotifiedUs(Change change, String proxy) {
        long told = DrainRecord.NEVER;
        for (Call call : record.calls) {
            if (call.proxy().equals(proxy)
                    && call.silentUs() <= change.atUs()
                    && change.atUs() < Math.min(call.endedUs(), laterResponseUs(call))) {
                told =
                        Math.min(
                                told,
                                Math.max(
                                        change.atUs(),
                                        call.silentUs() + SILENT_WATCH_NOTIFY_TIMEOUT_US));
            }
        }
        return told;
    }

    private long laterResponseUs(Call call) {
        return record.calls.stream()
                .filter(c -> c.proxy().equals(call.proxy()) && c.startedUs() > call.startedUs())
                .mapToLong(Call::responseUs)
                .min()
                .orElse(DrainRecord.NEVER);
    }

    /** For a proxy without a watch, from its last call on. */
    private long askIntervalNotifiedUs(Change change, String proxy) {
        long askingUs = record.rules.askEveryUs();
        List<Call> calls =
                record.calls.stream()
                        .filter(c -> c.proxy().equals(proxy))
                        .sorted(Comparator.comparingLong(Call::startedUs))
                        .toList();
        for (int i = 0; i < calls.size() && askingUs > 0; i++) {
            Call last = calls.get(i);
            long holdUs = last.failed() ? FAILED_CALL_ASK_INTERVALS * askingUs : askingUs;
            long toldUs = Math.max(last.startedUs(), change.atUs()) + holdUs;
            long nextUs = i + 1 < calls.size() ? calls.get(i + 1).startedUs() : DrainRecord.NEVER;
            boolean watched = last.responseUs() <= toldUs && toldUs < last.endedUs();
            if (toldUs < nextUs && !watched) {
                return toldUs;
            }
        }
        return DrainRecord.NEVER;
    }

    /**
     * Each signal counts by itself: for what discovery has then, and for what it gets within the 4
     * s, which counts 4 s after it was made.
     */
    private long addressChangeNotifiedUs(Change change, String proxy) {
        for (AddressChange move : record.addressChanges) {
            if (move.proxy().equals(proxy)
                    && change.atUs() <= move.atUs() + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US) {
                return Math.max(move.atUs(), change.atUs()) + ADDRESS_CHANGE_NOTIFY_TIMEOUT_US;
            }
        }
        return DrainRecord.NEVER;
    }
}
