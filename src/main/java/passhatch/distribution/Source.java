package passhatch.distribution;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import passhatch.distribution.Message.Ack;
import passhatch.distribution.Message.Delta;
import passhatch.distribution.Message.Poll;
import passhatch.distribution.Message.SnapshotPart;

/** Serves a committed state to followers and keeps track of the version that each follower has. */
final class Source {

    /**
     * Maximum number of followers. A further follower gets no reply, and therefore switches to
     * another source.
     */
    private static final int MAX_FOLLOWERS = 4_096;

    /**
     * Maximum number of datagrams with deltas that are sent to a follower before it confirms them.
     */
    private static final int MAX_UNCONFIRMED_DATAGRAMS = 16;

    /** Maximum number of snapshot parts sent in reply to one poll. */
    private static final int MAX_PARTS_PER_BURST = 32;

    /** What this source knows of one follower. */
    private static final class FollowerState {
        private String name = "";
        private long confirmedVersion;
        private long sentVersion;
        private long lastSendUs;
        private int unconfirmedDatagrams;
        private long lastPollUs;
        private boolean receivesSnapshot;
        private ServiceFilter filter = ServiceFilter.all();
    }

    private final CommittedView view;
    private final DistributionActions actions;
    private final Map<String, FollowerState> followers = new LinkedHashMap<>();
    private long wakeAtUs = Long.MAX_VALUE;
    private long rejectedPolls;

    Source(CommittedView view, DistributionActions actions) {
        this.view = view;
        this.actions = actions;
    }

    long wakeAtUs() {
        return wakeAtUs;
    }

    /**
     * Returns the number of polls that this source did not answer because it had too many
     * followers.
     */
    long rejectedPolls() {
        return rejectedPolls;
    }

    void onMessage(long nowUs, String from, Message message) {
        if (message instanceof Poll poll) {
            onPoll(nowUs, from, poll);
        } else if (message instanceof Ack ack && ack.epoch() == view.epoch()) {
            FollowerState follower = followers.get(from);
            if (follower != null) {
                recordConfirmation(follower, ack.version());
                pushChanges(nowUs, from, follower);
            }
        }
    }

    private void onPoll(long nowUs, String from, Poll poll) {
        FollowerState follower = followers.get(from);
        if (follower == null) {
            if (followers.size() >= MAX_FOLLOWERS) {
                rejectedPolls++;
                return;
            }
            follower = new FollowerState();
            followers.put(from, follower);
            wakeAtUs = Math.min(wakeAtUs, nowUs + Timing.RETRY_DELAY_US);
        }
        follower.lastPollUs = nowUs;
        follower.name = poll.name();
        follower.filter = poll.filter();
        boolean sameEpoch = poll.epoch() == view.epoch();
        follower.receivesSnapshot = !sameEpoch || poll.version() < view.state().minDeltaVersion();
        if (poll.epoch() > view.epoch()) {
            // The follower has a newer epoch than this source. The empty delta has the older
            // epoch, so the follower sees that this source is behind.
            follower.receivesSnapshot = false;
            follower.confirmedVersion = view.state().version();
            sendDelta(nowUs, from, follower.confirmedVersion, follower.confirmedVersion, List.of());
        } else if (follower.receivesSnapshot || poll.cursor() != null) {
            follower.receivesSnapshot = true;
            sendSnapshot(nowUs, from, poll);
        } else {
            follower.confirmedVersion = poll.version();
            follower.sentVersion = poll.version();
            follower.unconfirmedDatagrams = 0;
            if (!pushChanges(nowUs, from, follower)) {
                long lastVersion = view.state().version();
                long after = Math.min(poll.version(), lastVersion);
                sendDelta(nowUs, from, after, lastVersion, List.of());
                follower.sentVersion = Math.max(follower.sentVersion, lastVersion);
            }
        }
    }

    private static void recordConfirmation(FollowerState follower, long version) {
        if (version > follower.confirmedVersion) {
            follower.confirmedVersion = version;
            follower.sentVersion = Math.max(follower.sentVersion, version);
        }
        if (follower.confirmedVersion >= follower.sentVersion) {
            follower.unconfirmedDatagrams = 0;
        }
    }

    /** Sends new changes to all followers after the state has reached a newer version. */
    void onStateAdvanced(long nowUs) {
        followers.forEach((peer, follower) -> pushChanges(nowUs, peer, follower));
    }

    /**
     * Sends a follower those changes to its subscribed keys that have not been sent to it yet, in
     * at most {@link #MAX_UNCONFIRMED_DATAGRAMS} datagrams. Returns false if there were none, or if
     * the follower needs a snapshot instead.
     */
    private boolean pushChanges(long nowUs, String peer, FollowerState follower) {
        ConfigState state = view.state();
        if (follower.receivesSnapshot || follower.sentVersion < state.minDeltaVersion()) {
            return false;
        }
        List<LogEntry> entriesToSend = new ArrayList<>();
        for (LogEntry entry : state.changesAfter(follower.sentVersion)) {
            if (follower.filter.accepts(entry.key())) {
                entriesToSend.add(entry);
            }
        }
        boolean hasEntries = !entriesToSend.isEmpty();
        while (!entriesToSend.isEmpty()
                && follower.unconfirmedDatagrams < MAX_UNCONFIRMED_DATAGRAMS) {
            List<LogEntry> entries = DatagramBudget.fittingPrefix(entriesToSend);
            entriesToSend = entriesToSend.subList(entries.size(), entriesToSend.size());
            LogEntry newest = entries.get(entries.size() - 1);
            long upto = entriesToSend.isEmpty() ? state.version() : newest.version();
            sendDelta(nowUs, peer, follower.sentVersion, upto, entries);
            follower.sentVersion = upto;
            follower.lastSendUs = nowUs;
            follower.unconfirmedDatagrams++;
        }
        return hasEntries;
    }

    private void sendDelta(long nowUs, String peer, long after, long upto, List<LogEntry> entries) {
        ConfigState state = view.state();
        long uptoTerm =
                upto == state.version() ? state.term() : entries.get(entries.size() - 1).term();
        actions.send(
                peer,
                new Delta(view.epoch(), after, upto, uptoTerm, view.stateAgeUs(nowUs), entries));
    }

    private void sendSnapshot(long nowUs, String peer, Poll poll) {
        String after = poll.cursor() == null ? "" : poll.cursor();
        NavigableMap<String, LogEntry> rest = view.state().entriesAfterKey(after);
        List<LogEntry> entriesToSend = new ArrayList<>();
        int remainingBytes = MAX_PARTS_PER_BURST * DatagramBudget.MAX_ENTRIES_BYTES;
        for (LogEntry entry : rest.values()) {
            if (poll.filter().accepts(entry.key())) {
                entriesToSend.add(entry);
                remainingBytes -= DatagramBudget.sizeOf(entry);
                if (remainingBytes < 0) {
                    break;
                }
            }
        }
        boolean complete = remainingBytes >= 0;
        do {
            List<LogEntry> entries = DatagramBudget.fittingPrefix(entriesToSend);
            entriesToSend = entriesToSend.subList(entries.size(), entriesToSend.size());
            boolean more = !entriesToSend.isEmpty();
            actions.send(
                    peer,
                    new SnapshotPart(
                            view.epoch(),
                            view.state().version(),
                            view.state().term(),
                            view.stateAgeUs(nowUs),
                            Message.keyHash(after),
                            complete && !more,
                            more,
                            entries));
            if (!entries.isEmpty()) {
                after = entries.get(entries.size() - 1).key();
            }
        } while (!entriesToSend.isEmpty());
    }

    /**
     * Resends the changes that followers have not confirmed in time, and removes followers that no
     * longer poll.
     */
    void timer(long nowUs) {
        if (nowUs < wakeAtUs) {
            return;
        }
        Iterator<Map.Entry<String, FollowerState>> all = followers.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, FollowerState> next = all.next();
            FollowerState follower = next.getValue();
            if (nowUs - follower.lastPollUs > Timing.FOLLOWER_EXPIRY_US) {
                all.remove();
            } else if (follower.unconfirmedDatagrams > 0
                    && follower.confirmedVersion < follower.sentVersion
                    && nowUs - follower.lastSendUs >= Timing.RETRY_DELAY_US) {
                follower.sentVersion = follower.confirmedVersion;
                follower.unconfirmedDatagrams = 0;
                pushChanges(nowUs, next.getKey(), follower);
            }
        }
        wakeAtUs = followers.isEmpty() ? Long.MAX_VALUE : nowUs + Timing.RETRY_DELAY_US;
    }

    /**
     * Returns the version that each current follower has confirmed, by the name of the follower.
     */
    Map<String, Long> confirmedVersions() {
        Map<String, Long> versions = new TreeMap<>();
        followers.values().forEach(f -> versions.put(f.name, f.confirmedVersion));
        return versions;
    }
}
