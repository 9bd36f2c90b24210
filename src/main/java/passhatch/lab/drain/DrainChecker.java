package passhatch.lab.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import passhatch.lab.drain.DrainRecord.Call;
import passhatch.lab.drain.DrainRecord.Change;
import passhatch.lab.drain.DrainRecord.Move;
import passhatch.lab.drain.DrainRecord.Outage;
import passhatch.lab.drain.DrainRecord.Send;
import passhatch.lab.drain.DrainRecord.Written;

/**
 * Finds requests that were sent to a draining or removed server after the grace. When a change
 * counts as told is worked out from the operators' pages alone, and of all sentences that fit the
 * earliest time holds; nothing here knows how a proxy keeps the rule. Pure: the same record gives
 * the same result.
 */
public final class DrainChecker {

    /** PROTOCOL, Figures: what discovery has to tell counts as told no later than this. */
    private static final long TOLD_WITHIN_US = 6_000_000;

    /** STANDING: what a watch misses counts as told this long after it fell silent. */
    private static final long SILENT_WATCH_TOLD_US = 6_000_000;

    /** TERMS, Reconfiguration: all that discovery has to report counts so long after the signal. */
    private static final long MOVE_TOLD_US = 4_000_000;

    /** STANDING: after a failed call a proxy is held to its list for this many asking times. */
    private static final long FAILED_CALL_ASKING_TIMES = 4;

    /** A sentence of the pages by which a change counts as told. */
    public enum Sentence {
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
    private record Told(long atUs, Sentence sentence) {}

    /**
     * A request that was sent too late.
     *
     * @param change since when its server may not be used
     * @param toldUs when that counted as told
     */
    public record LateSend(Send send, Change change, long toldUs, Sentence sentence) {
        @Override
        public String toString() {
            return String.format(
                    "%.3f s: %s sent to %s %.3f s after its change of %.3f s counted as told (%s)",
                    send.atUs() / 1e6,
                    send.proxy(),
                    send.server(),
                    (send.atUs() - toldUs) / 1e6,
                    change.atUs() / 1e6,
                    sentence);
        }
    }

    private final DrainRecord record;
    private final Map<String, List<Change>> changesOf = new HashMap<>();

    private DrainChecker(DrainRecord record) {
        this.record = record;
        for (Change change : record.changes) {
            changesOf.computeIfAbsent(change.server(), s -> new ArrayList<>()).add(change);
        }
    }

    /** All requests of the record that were sent too late, in their order. */
    public static List<LateSend> check(DrainRecord record) {
        return new DrainChecker(record).lateSends();
    }

    /**
     * How many changes that took a server out of use counted as told to some proxy of the record
     * without, or before, being written to it: a run without any shows nothing.
     */
    public static int unheard(DrainRecord record) {
        DrainChecker checker = new DrainChecker(record);
        List<String> proxies = record.calls.stream().map(Call::proxy).distinct().toList();
        int unheard = 0;
        for (Change change : record.changes) {
            for (String proxy : proxies) {
                boolean told = checker.told(change, proxy).sentence() == Sentence.WRITTEN;
                unheard += change.up() || told ? 0 : 1;
            }
        }
        return unheard;
    }

    private List<LateSend> lateSends() {
        List<LateSend> late = new ArrayList<>();
        for (Send send : record.sends) {
            Change change = takenOutOfUse(send);
            if (change == null || send.atUs() < change.atUs() + record.rules.graceUs()) {
                continue;
            }
            Told told = told(change, send.proxy());
            if (send.atUs() >= told.atUs() + record.rules.graceUs()) {
                late.add(new LateSend(send, change, told.atUs(), told.sentence()));
            }
        }
        return late;
    }

    /** Since when the server may not be used at the time of the send; null where it may. */
    private Change takenOutOfUse(Send send) {
        Change since = null;
        for (Change change : changesOf.getOrDefault(send.server(), List.of())) {
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
    private Told told(Change change, String proxy) {
        long reachableUs = reachableFrom(change.atUs());
        Told told = new Told(reachableUs + TOLD_WITHIN_US, Sentence.REACHABLE);
        if (record.rules.pushed()) {
            told = earlier(told, reachableUs, Sentence.PUSHED);
        } else {
            told = earlier(told, writtenAt(change, proxy), Sentence.WRITTEN);
            told = earlier(told, askingTimeOver(change, proxy), Sentence.ASKING_TIME);
        }
        told = earlier(told, silentFor(change, proxy), Sentence.SILENT_WATCH);
        return earlier(told, movedFor(change, proxy), Sentence.MOVED);
    }

    private static Told earlier(Told told, long atUs, Sentence sentence) {
        return atUs < told.atUs() ? new Told(atUs, sentence) : told;
    }

    private long reachableFrom(long timeUs) {
        for (Outage outage : record.outages) {
            if (outage.fromUs() <= timeUs && timeUs < outage.untilUs()) {
                return outage.untilUs();
            }
        }
        return timeUs;
    }

    private long writtenAt(Change change, String proxy) {
        for (Written one : record.written) {
            if (one.proxy().equals(proxy) && one.version() >= change.version()) {
                return one.atUs();
            }
        }
        return DrainRecord.NEVER;
    }

    /**
     * A watch misses what comes after it fell silent, until it ends or a later call is answered.
     */
    private long silentFor(Change change, String proxy) {
        long told = DrainRecord.NEVER;
        for (Call call : record.calls) {
            if (call.proxy().equals(proxy)
                    && call.silentUs() <= change.atUs()
                    && change.atUs() < Math.min(call.endedUs(), answeredAfter(call))) {
                told =
                        Math.min(
                                told,
                                Math.max(change.atUs(), call.silentUs() + SILENT_WATCH_TOLD_US));
            }
        }
        return told;
    }

    private long answeredAfter(Call call) {
        return record.calls.stream()
                .filter(c -> c.proxy().equals(call.proxy()) && c.fromUs() > call.fromUs())
                .mapToLong(Call::answeredUs)
                .min()
                .orElse(DrainRecord.NEVER);
    }

    /** For a proxy without a watch, from its last call on. */
    private long askingTimeOver(Change change, String proxy) {
        long askingUs = record.rules.askEveryUs();
        List<Call> calls =
                record.calls.stream()
                        .filter(c -> c.proxy().equals(proxy))
                        .sorted(Comparator.comparingLong(Call::fromUs))
                        .toList();
        for (int i = 0; i < calls.size() && askingUs > 0; i++) {
            Call last = calls.get(i);
            long holdUs = last.failed() ? FAILED_CALL_ASKING_TIMES * askingUs : askingUs;
            long toldUs = Math.max(last.fromUs(), change.atUs()) + holdUs;
            long nextUs = i + 1 < calls.size() ? calls.get(i + 1).fromUs() : DrainRecord.NEVER;
            boolean watched = last.answeredUs() <= toldUs && toldUs < last.endedUs();
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
    private long movedFor(Change change, String proxy) {
        for (Move move : record.moves) {
            if (move.proxy().equals(proxy) && change.atUs() <= move.atUs() + MOVE_TOLD_US) {
                return Math.max(move.atUs(), change.atUs()) + MOVE_TOLD_US;
            }
        }
        return DrainRecord.NEVER;
    }
}
