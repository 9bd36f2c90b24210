package passhatch.proxy.discovery;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import passhatch.Balancer.ListFreshness;

/**
 * Decides when discovery is called, what its answers tell, and when a watch counts as broken. A
 * watch that ends is taken up again from the last version heard; where discovery will not do that,
 * the whole list is fetched first.
 *
 * <p>A state machine without clock, socket or thread: events come in with their time, and what is
 * to be done goes to a {@link Transport}. All times are microseconds of one clock.
 */
public final class ListWatch {

    /** More bytes than this are no list of backends. */
    private static final int MAX_LIST_BYTES = 1 << 22;

    /** Where discovery is asked, a change may still be on its way this long after it was made. */
    private static final long MAX_CHANGE_DELAY_US =
            TimeUnit.MILLISECONDS.toMicros(WatchBudget.EMPTY_LINE_INTERVAL_MS);

    /** A refusal that takes longer may be one of a discovery that is down. */
    private static final long IMMEDIATE_REJECTION_US = TimeUnit.SECONDS.toMicros(1);

    private static final int OK = 200;

    /** Below are refusals that say something of the call; above, of discovery's own state. */
    private static final int FIRST_SERVER_ERROR = 500;

    /** Does what is decided here. */
    public interface Transport {
        /** Opens a connection and asks for a path; the call's events name it by its number. */
        void startCall(long call, InetSocketAddress address, String path);

        /** Closes the connection of a call; nothing more of it is to be told. */
        void closeCall(long call);

        /** Asks for {@link ListWatch#onTimer} at this time or after it. */
        void wakeAt(long atUs);
    }

    /** Hears what discovery says. */
    public interface Listener {
        /** The list, or changes to it, of which there may be none. */
        void onList(EndpointList list, ListFreshness freshness);

        /** A watch with nothing to tell has said so. */
        void onUnchanged(ListFreshness freshness);

        /**
         * Something was begun to be told that is not taken in; it may never be.
         *
         * @param sinceUs when that was
         */
        void onPending(long sinceUs);

        /** No watch is alive any more: changes may be missed. */
        void onWatchLost();

        /** A connection to it stands, whatever comes of it. */
        void onReached();

        /** It has turned a call away at once. */
        void onRejected();

        /** It is found at another address from now on. */
        void onAddressChanged();
    }

    /**
     * What there is to watch.
     *
     * @param initialList the list that is known already; empty where none is
     * @param onRequest whether the module says when to ask again after a watch has ended
     * @param zoneNames names of the zones, by position
     * @param modelNames names of the machine kinds, by position
     * @param drainGraceUs how long a server that drains may be sent something, in microseconds
     */
    public record WatchConfig(
            InetSocketAddress address,
            EndpointList initialList,
            boolean onRequest,
            List<String> zoneNames,
            List<String> modelNames,
            long drainGraceUs) {}

    private static final long NEVER = Long.MAX_VALUE;

    private final WatchConfig config;
    private final Transport transport;
    private final Listener listener;
    private final Consumer<String> log;
    private final Backoff backoff;
    private final WatchBudget budget;

    /** A call that has told nothing for so long is given up. */
    private long messageTimeoutMs;

    private long index;
    private boolean fetchWhole;
    private boolean stopped;
    private InetSocketAddress address;
    private long callCount;
    private long nextCallUs = NEVER;
    private long wakeAtUs = NEVER;

    /** The time of the event that is being handled. */
    private long nowUs;

    /** The call that is out. */
    private Call current;

    /**
     * A watch that was given up and stays open until a later call is answered: what discovery
     * writes on it counts as told, and may be on its way.
     */
    private Call previous;

    /** A watch that has not begun; the seed is of the pauses between two calls. */
    public ListWatch(
            WatchConfig config,
            long seed,
            Transport transport,
            Listener listener,
            Consumer<String> log) {
        this.config = config;
        this.transport = transport;
        this.listener = listener;
        this.log = log;
        this.address = config.address();
        this.budget = WatchBudget.of(config.onRequest(), config.drainGraceUs());
        this.messageTimeoutMs = budget.initialMessageTimeoutMs();
        this.backoff = new Backoff(budget.maxBackoffMs(), seed);
        this.index = config.initialList().index();
        // A list may well have the version 0: a watch from there is one call, a list and a watch
        // are two.
        this.fetchWhole = index == 0 && config.initialList().endpoints().isEmpty();
    }

    /** How long a connection may take to come up, in milliseconds. */
    public long connectTimeoutMs() {
        return budget.connectTimeoutMs();
    }

    // ---- events

    /** Goes on at another address; the watch at the old one is given up. */
    public void changeAddress(long nowUs, InetSocketAddress newAddress) {
        this.nowUs = nowUs;
        address = newAddress;
        Call oldCall = current;
        listener.onAddressChanged();
        backoff.reset();
        current = null;
        startWatch(nowUs);
        if (oldCall != null) {
            abandon(oldCall);
        }
    }

    /** Starts a watch unless one is out; one that ends is taken up again unless the module asks. */
    public void startWatch(long nowUs) {
        this.nowUs = nowUs;
        if (stopped || current != null) {
            return;
        }
        nextCallUs = NEVER;
        Call call = new Call(++callCount, fetchWhole, nowUs);
        current = call;
        log.accept("discovery: call from version " + index + " to " + address + " begins");
        transport.startCall(
                call.number,
                address,
                call.isFetch ? "/v1/endpoints" : "/v1/endpoints?watch=1&from=" + index);
        checkSilence();
    }

    /** The connection of a call stands. */
    public void onConnected(long call) {
        if (isCurrent(call)) {
            listener.onReached();
        }
    }

    /** The connection of a call failed; its end follows. */
    public void onFailed(long call, String reason) {
        if (isCurrent(call)) {
            current.endReason = reason;
        }
    }

    /** The head of an answer has come. */
    public void onResponseHead(long nowUs, long call, int status) {
        this.nowUs = nowUs;
        if (!isCurrent(call)) {
            return;
        }
        current.accepted = status == OK;
        if (!current.accepted) {
            // It may no longer know the version asked for.
            fetchWhole = status < FIRST_SERVER_ERROR;
            if (nowUs - current.startedUs < IMMEDIATE_REJECTION_US) {
                listener.onRejected();
            }
            abortCurrent("answered " + status);
        }
    }

    /**
     * A part of an answer's body has come.
     *
     * @param arrivedUs since when it may have stood unread; not after now
     */
    public void onBody(long nowUs, long arrivedUs, long call, ByteBuf bytes) {
        this.nowUs = nowUs;
        boolean resumed = current == null && isPrevious(call);
        if (resumed) {
            current = previous;
            previous = null;
            log.accept("discovery: a watch that was silent speaks again");
        }
        Call receiver = isPrevious(call) ? previous : current;
        if (receiver != null && receiver.number == call && receiver.accepted) {
            receiver.read(Math.max(arrivedUs, receiver.startedUs), bytes);
        }
        if (resumed && current != null) {
            checkSilence();
        }
    }

    /** An answer is whole. */
    public void onResponseEnd(long nowUs, long call) {
        this.nowUs = nowUs;
        if (isCurrent(call)) {
            if (current.scanner.pending()) {
                current.onSkipped("it is cut off by the end of the answer");
            } else {
                abortCurrent("the answer ended");
            }
        }
    }

    /** The connection of a call is closed. */
    public void onClosed(long nowUs, long call) {
        this.nowUs = nowUs;
        if (isCurrent(call)) {
            finishCurrent();
        } else if (isPrevious(call)) {
            previous = null;
        }
    }

    /** Does what is due by now. */
    public void onTimer(long nowUs) {
        this.nowUs = nowUs;
        if (wakeAtUs <= nowUs) {
            wakeAtUs = NEVER;
        }
        if (current != null) {
            checkSilence();
        } else if (nextCallUs <= nowUs) {
            startWatch(nowUs);
        }
    }

    /** Nothing is called any more. */
    public void stop() {
        stopped = true;
        if (current != null) {
            transport.closeCall(current.number);
            current = null;
        }
        closePrevious();
    }

    // ---- the call that is out

    private boolean isCurrent(long call) {
        return current != null && current.number == call;
    }

    private boolean isPrevious(long call) {
        return previous != null && previous.number == call;
    }

    /** Gives a call up; a watch is listened to until another call is answered. */
    private void abandon(Call call) {
        if (call.accepted && !call.isFetch && !call.scanner.pending()) {
            closePrevious();
            previous = call;
        } else {
            transport.closeCall(call.number);
        }
    }

    private void closePrevious() {
        if (previous != null) {
            long number = previous.number;
            previous = null;
            transport.closeCall(number);
        }
    }

    /** Bytes that tell nothing are no news, and neither is a list that has begun. */
    private void checkSilence() {
        long limitMs = current.messageReceived ? budget.silenceTimeoutMs() : messageTimeoutMs;
        long timeoutAtUs = current.lastMessageUs + millisToMicros(limitMs);
        if (nowUs < timeoutAtUs) {
            wakeAt(timeoutAtUs);
        } else if (current.scanner.pending()) {
            current.onSkipped("it did not end");
        } else {
            Call silentCall = current;
            silentCall.endReason = "nothing was told for " + limitMs + " ms";
            finishCurrent();
            abandon(silentCall);
        }
    }

    private void wakeAt(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            transport.wakeAt(atUs);
        }
    }

    private void abortCurrent(String reason) {
        long number = current.number;
        current.endReason = reason;
        finishCurrent();
        transport.closeCall(number);
    }

    private void finishCurrent() {
        Call call = current;
        current = null;
        if (call.listFetched) {
            startWatch(nowUs);
            return;
        }
        if (!call.messageReceived && microsToMillis(nowUs - call.startedUs) >= messageTimeoutMs) {
            messageTimeoutMs = Math.min(2 * messageTimeoutMs, budget.maxMessageTimeoutMs());
        }
        log.accept(
                "discovery: the watch from index "
                        + index
                        + " ended after "
                        + microsToMillis(nowUs - call.startedUs)
                        + " ms, "
                        + (call.messageReceived
                                ? "last heard "
                                        + microsToMillis(nowUs - call.lastMessageUs)
                                        + " ms ago"
                                : "with nothing heard")
                        + ": "
                        + call.endReason
                        + (call.scanner.pending() ? ", within an object" : ""));
        if (!config.onRequest()) {
            nextCallUs = nowUs + millisToMicros(backoff.nextDelayMs());
            wakeAt(nextCallUs);
        }
        // Where discovery has to be asked, the module hears of it and says when to ask again.
        listener.onWatchLost();
    }

    private static long millisToMicros(long ms) {
        return TimeUnit.MILLISECONDS.toMicros(ms);
    }

    private static long microsToMillis(long us) {
        return TimeUnit.MICROSECONDS.toMillis(us);
    }

    /** One answer of discovery: lists and changes as they come, or one whole list. */
    private final class Call implements JsonObjectScanner.Listener {
        private final long number;
        private final boolean isFetch;
        private final long fromVersion = index;
        private final JsonObjectScanner scanner = new JsonObjectScanner(MAX_LIST_BYTES, this);
        private final long startedUs;
        private long arrivedUs;
        private long objectStartedUs;
        private boolean pendingReported;
        private long lastMessageUs;
        private boolean accepted;
        private boolean messageReceived;
        private boolean listFetched;
        private String endReason = "its connection was closed";

        Call(long number, boolean isFetch, long nowUs) {
            this.number = number;
            this.isFetch = isFetch;
            this.startedUs = nowUs;
            this.lastMessageUs = nowUs;
        }

        void read(long arrivedAtUs, ByteBuf bytes) {
            arrivedUs = arrivedAtUs;
            if (!scanner.pending()) {
                objectStartedUs = arrivedUs;
                pendingReported = false;
            }
            scanner.read(bytes);
            if (this == current && (scanner.pending() || messageReceived)) {
                // What is written from now on is written here as well.
                closePrevious();
            }
            boolean open = this == current || this == previous;
            if (open && scanner.pending() && !pendingReported) {
                pendingReported = true;
                listener.onPending(objectStartedUs);
            }
        }

        @Override
        public void onObject(String text) {
            if (this != current && this != previous) {
                return;
            }
            EndpointList list;
            try {
                list =
                        EndpointList.parse(
                                JSON.std.mapFrom(text), config.zoneNames(), config.modelNames());
            } catch (IOException | IllegalArgumentException malformed) {
                onSkipped(malformed.getMessage().lines().findFirst().orElse(""));
                return;
            }
            if (list.index() < index) {
                // Versions only grow: what was said since would be undone, such as that a server
                // drains.
                skipOlder(list);
                return;
            }
            if (!messageReceived && !list.whole() && fromVersion < index) {
                // What changed back since then is not among the changes after the older version.
                onSkipped(
                        "it is told from version " + fromVersion + ", and " + index + " is known");
                return;
            }
            ListFreshness freshness = freshness(objectStartedUs);
            if (this == current) {
                recordMessage("version " + list.index());
            }
            index = list.index();
            fetchWhole = false;
            listFetched = isFetch;
            backoff.reset();
            listener.onList(list, freshness);
        }

        /** Said once a call: a release brings several versions a second. */
        private void recordMessage(String content) {
            if (!messageReceived) {
                log.accept(
                        "discovery: "
                                + content
                                + " heard after "
                                + microsToMillis(nowUs - startedUs)
                                + " ms");
            }
            messageReceived = true;
            lastMessageUs = arrivedUs;
            messageTimeoutMs = budget.initialMessageTimeoutMs();
        }

        /** A watch with nothing to tell says so by an empty line. */
        @Override
        public void onEmptyLine() {
            if (this != current) {
                return;
            }
            backoff.reset();
            boolean first = !messageReceived;
            // The first may come while the call waits its turn.
            ListFreshness freshness = freshness(first ? startedUs : arrivedUs);
            recordMessage("no change since version " + index);
            if (!first) {
                listener.onUnchanged(freshness);
            } else if (!isFetch) {
                listener.onList(new EndpointList(index, false, List.of()), freshness);
            }
        }

        /** An answer has all that discovery had when it was begun; a watch may tell later. */
        private ListFreshness freshness(long sentUs) {
            long asOfUs =
                    messageReceived && config.onRequest() ? sentUs - MAX_CHANGE_DELAY_US : sentUs;
            return new ListFreshness(
                    asOfUs,
                    isFetch || this == previous
                            ? asOfUs
                            : arrivedUs + millisToMicros(budget.silenceTimeoutMs()));
        }

        private void skipOlder(EndpointList list) {
            if (!list.whole()) {
                // What it says of other servers is nowhere else.
                fetchWhole = true;
            }
            onSkipped("its version " + list.index() + " is older than " + index);
        }

        /**
         * What was told and cannot be read is asked for again: nothing after it makes up for it.
         */
        @Override
        public void onSkipped(String reason) {
            if (this == current || this == previous) {
                log.accept("discovery: a list is skipped: " + reason);
                listener.onPending(objectStartedUs);
                closePrevious();
                close("a list was skipped");
            }
        }

        private void close(String reason) {
            if (this == current) {
                abortCurrent(reason);
            } else {
                closePrevious();
            }
        }
    }
}
