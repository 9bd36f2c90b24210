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

/** Serves a committed state to followers, and remembers what each of them has. */
final class Source {

    /** Followers at most; a further one is not answered and tries its next source. */
    private static final int MAX_FOLLOWERS = 4_096;

    /** Datagrams of deltas to one follower without being confirmed, at most. */
    private static final int WINDOW_DATAGRAMS = 16;

    /** Parts of a snapshot that answer one poll. */
    private static final int SNAPSHOT_BURST = 32;

    /** What is known of a follower. */
    private static final class FollowerState {
        private String name = "";
        private long confirmed;
        private long sent;
        private long sentUs;
        private int datagrams;
        private long polledUs;
        private boolean inSnapshot;
        private ServiceFilter filter = ServiceFilter.all();
    }

    private final CommittedView view;
    private final DistributionActions actions;
    private final Map<String, FollowerState> followers = new LinkedHashMap<>();
    private long wakeAtUs = Long.MAX_VALUE;
    private long refused;

    Source(CommittedView view, DistributionActions actions) {
        this.view = view;
        this.actions = actions;
    }

    long wakeAtUs() {
        return wakeAtUs;
    }

    /** Polls that were not answered as there were too many followers. */
    long refused() {
        return refused;
    }

    void hear(long nowUs, String from, Message message) {
        if (message instanceof Poll poll) {
            poll(nowUs, from, poll);
        } else if (message instanceof Ack ack && ack.epoch() == view.epoch()) {
            FollowerState follower = followers.get(from);
            if (follower != null) {
                confirm(follower, ack.version());
                push(nowUs, from, follower);
            }
        }
    }

    private void poll(long nowUs, String from, Poll poll) {
        FollowerState follower = followers.get(from);
        if (follower == null) {
            if (followers.size() >= MAX_FOLLOWERS) {
                refused++;
                return;
            }
            follower = new FollowerState();
            followers.put(from, follower);
            wakeAtUs = Math.min(wakeAtUs, nowUs + Timing.RETRY_US);
        }
        follower.polledUs = nowUs;
        follower.name = poll.name();
        follower.filter = poll.filter();
        boolean known = poll.epoch() == view.epoch();
        follower.inSnapshot = !known || poll.version() < view.state().floor();
        if (poll.epoch() > view.epoch()) {
            // This source is the one that is behind; an empty delta says so.
            follower.inSnapshot = false;
            follower.confirmed = view.state().version();
            sendDelta(nowUs, from, follower.confirmed, follower.confirmed, List.of());
        } else if (follower.inSnapshot || poll.cursor() != null) {
            follower.inSnapshot = true;
            sendSnapshot(nowUs, from, poll);
        } else {
            follower.confirmed = poll.version();
            follower.sent = poll.version();
            follower.datagrams = 0;
            if (!push(nowUs, from, follower)) {
                long head = view.state().version();
                long after = Math.min(poll.version(), head);
                sendDelta(nowUs, from, after, head, List.of());
                follower.sent = Math.max(follower.sent, head);
            }
        }
    }

    private static void confirm(FollowerState follower, long version) {
        if (version > follower.confirmed) {
            follower.confirmed = version;
            follower.sent = Math.max(follower.sent, version);
        }
        if (follower.confirmed >= follower.sent) {
            follower.datagrams = 0;
        }
    }

    /** The state has reached a newer version. */
    void advanced(long nowUs) {
        followers.forEach((peer, follower) -> push(nowUs, peer, follower));
    }

    /** Sends what a follower subscribes to and lacks; whether there was anything. */
    private boolean push(long nowUs, String peer, FollowerState follower) {
        ConfigState state = view.state();
        if (follower.inSnapshot || follower.sent < state.floor()) {
            return false;
        }
        List<LogEntry> wanted = new ArrayList<>();
        for (LogEntry entry : state.after(follower.sent)) {
            if (follower.filter.passes(entry.key())) {
                wanted.add(entry);
            }
        }
        boolean any = !wanted.isEmpty();
        while (!wanted.isEmpty() && follower.datagrams < WINDOW_DATAGRAMS) {
            List<LogEntry> entries = DatagramBudget.fitting(wanted);
            wanted = wanted.subList(entries.size(), wanted.size());
            LogEntry newest = entries.get(entries.size() - 1);
            long upto = wanted.isEmpty() ? state.version() : newest.version();
            sendDelta(nowUs, peer, follower.sent, upto, entries);
            follower.sent = upto;
            follower.sentUs = nowUs;
            follower.datagrams++;
        }
        return any;
    }

    private void sendDelta(long nowUs, String peer, long after, long upto, List<LogEntry> entries) {
        ConfigState state = view.state();
        long uptoTerm =
                upto == state.version() ? state.term() : entries.get(entries.size() - 1).term();
        actions.send(
                peer, new Delta(view.epoch(), after, upto, uptoTerm, view.ageUs(nowUs), entries));
    }

    private void sendSnapshot(long nowUs, String peer, Poll poll) {
        String after = poll.cursor() == null ? "" : poll.cursor();
        NavigableMap<String, LogEntry> rest = view.state().afterKey(after);
        List<LogEntry> wanted = new ArrayList<>();
        int most = SNAPSHOT_BURST * DatagramBudget.ENTRY_BYTES;
        for (LogEntry entry : rest.values()) {
            if (poll.filter().passes(entry.key())) {
                wanted.add(entry);
                most -= DatagramBudget.sizeOf(entry);
                if (most < 0) {
                    break;
                }
            }
        }
        boolean whole = most >= 0;
        do {
            List<LogEntry> entries = DatagramBudget.fitting(wanted);
            wanted = wanted.subList(entries.size(), wanted.size());
            boolean more = !wanted.isEmpty();
            actions.send(
                    peer,
                    new SnapshotPart(
                            view.epoch(),
                            view.state().version(),
                            view.state().term(),
                            view.ageUs(nowUs),
                            Message.keyHash(after),
                            whole && !more,
                            more,
                            entries));
            if (!entries.isEmpty()) {
                after = entries.get(entries.size() - 1).key();
            }
        } while (!wanted.isEmpty());
    }

    /** Sends again what was not confirmed in time, and forgets followers that are gone. */
    void timer(long nowUs) {
        if (nowUs < wakeAtUs) {
            return;
        }
        Iterator<Map.Entry<String, FollowerState>> all = followers.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, FollowerState> next = all.next();
            FollowerState follower = next.getValue();
            if (nowUs - follower.polledUs > Timing.FOLLOWER_EXPIRY_US) {
                all.remove();
            } else if (follower.datagrams > 0
                    && follower.confirmed < follower.sent
                    && nowUs - follower.sentUs >= Timing.RETRY_US) {
                follower.sent = follower.confirmed;
                follower.datagrams = 0;
                push(nowUs, next.getKey(), follower);
            }
        }
        wakeAtUs = followers.isEmpty() ? Long.MAX_VALUE : nowUs + Timing.RETRY_US;
    }

    /** Names of the followers heard of lately, with the version that each has confirmed. */
    Map<String, Long> confirmedVersions() {
        Map<String, Long> versions = new TreeMap<>();
        followers.values().forEach(f -> versions.put(f.name, f.confirmed));
        return versions;
    }
}
