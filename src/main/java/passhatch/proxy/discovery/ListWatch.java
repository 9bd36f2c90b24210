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
 * The state machine of the discovery client: decides when to call discovery, interprets its
 * responses and detects broken watches. A watch that ends is resumed from the last version
 * received; if discovery rejects that version, the whole list is fetched first.
 *
 * <p>This class has no clock, socket or thread: each event is passed in with its time, and actions
 * are passed to a {@link Transport}. All times are microseconds of one clock.
 */
public final class ListWatch {

    /** Maximum size of a list in bytes. */
    private static final int MAX_LIST_BYTES = 1 << 22;

    /** Maximum time from a change of the list until a watch receives the change. */
    private static final long MAX_CHANGE_DELAY_US =
            TimeUnit.MILLISECONDS.toMicros(WatchBudget.EMPTY_LINE_INTERVAL_MS);

    /**
     * If discovery rejects a call within this time after the start of the call, the rejection
     * counts as immediate. A slower rejection may come from a discovery service that is down.
     */
    private static final long MAX_IMMEDIATE_REJECTION_US = TimeUnit.SECONDS.toMicros(1);

    /**
     * If lists are pushed, a watch that lasted at least this long is resumed without delay, as the
     * list is out of use until the next response. The duration limits the rate of calls.
     */
    private static final long MIN_RESUME_INTERVAL_US = TimeUnit.SECONDS.toMicros(1);

    private static final int OK = 200;

    /**
     * Lowest HTTP status of an error that concerns the state of discovery; lower error statuses
     * concern the call.
     */
    private static final int FIRST_SERVER_ERROR = 500;

    /** Carries out the actions of the state machine. */
    public interface Transport {
        /**
         * Opens a connection and requests a path; the events of this call are reported with the
         * number {@code call}.
         */
        void startCall(long call, InetSocketAddress address, String path);

        /** Closes the connection of a call; further events of the call need not be reported. */
        void closeCall(long call);

        /** Schedules {@link ListWatch#onTimer} for this time or later. */
        void wakeAt(long atUs);
    }

    /** Receives the events of discovery. */
    public interface Listener {
        /** Called when the whole list or changes to it were received; the changes may be empty. */
        void onList(EndpointList list, ListFreshness freshness);

        /** Called when the watch has confirmed that there are no changes. */
        void onUnchanged(ListFreshness freshness);

        /**
         * Called when a message is pending: it has started to arrive, but it is not processed yet
         * and may never be.
         *
         * @param sinceUs when the message started to arrive
         */
        void onMessagePending(long sinceUs);

        /** Called when no watch is open any more, so that changes may be missed. */
        void onWatchLost();

        /**
         * Called when the connection for a call to discovery is established, whether the call later
         * succeeds or fails.
         */
        void onDiscoveryReached();

        /** Called when discovery has rejected a call immediately. */
        void onCallRejected();

        /** Called when discovery has another address from now on. */
        void onAddressChanged();
    }

    /**
     * The configuration of a watch.
     *
     * @param initialList the list that is known before the first call; empty if there is none
     * @param onRequest whether the decision module chooses when to call again after a watch has
     *     ended; if false, the watch is restarted automatically
     * @param zoneNames names of the zones, by index
     * @param modelNames names of the machine types, by index
     * @param drainGraceUs how long a draining server may be sent requests, in microseconds
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

    /** Time after which a call that has received no message is abandoned. */
    private long messageTimeoutMs;

    private long lastVersion;
    private boolean fetchWhole;
    private boolean stopped;
    private InetSocketAddress address;
    private long callCount;
    private long nextCallUs = NEVER;
    private long wakeAtUs = NEVER;

    /** The time of the event that is being processed. */
    private long nowUs;

    /** The open call, or null if there is none. */
    private Call current;

    /**
     * An abandoned watch that stays open until a later call gets a response, or null if there is
     * none. This proxy is deemed notified of everything that discovery writes on this watch, and a
     * message may still be on its way.
     */
    private Call previous;

    /**
     * Creates a watch that has not started; {@code seed} is for the random delays between calls.
     */
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
        this.lastVersion = config.initialList().index();
        // A known list may have version 0. A watch from that version needs one call, while a fetch
        // followed by a watch needs two.
        this.fetchWhole = lastVersion == 0 && config.initialList().endpoints().isEmpty();
    }

    /** Returns the connect timeout in milliseconds. */
    public long connectTimeoutMs() {
        return budget.connectTimeoutMs();
    }

    // ---- events

    /** Starts a watch at another address of discovery and abandons the watch at the old address. */
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

    /**
     * Starts a watch unless a call is open. A watch that ends is restarted automatically, unless
     * the decision module chooses when to call.
     */
    public void startWatch(long nowUs) {
        this.nowUs = nowUs;
        if (stopped || current != null) {
            return;
        }
        nextCallUs = NEVER;
        Call call = new Call(++callCount, fetchWhole, nowUs);
        current = call;
        log.accept("discovery: call from version " + lastVersion + " to " + address + " started");
        transport.startCall(
                call.number,
                address,
                call.isFetch ? "/v1/endpoints" : "/v1/endpoints?watch=1&from=" + lastVersion);
        checkSilence();
    }

    /** Called when the connection of a call is established. */
    public void onConnected(long call) {
        if (isCurrent(call)) {
            listener.onDiscoveryReached();
        }
    }

    /** Called when the connection of a call has failed; {@link #onClosed} follows. */
    public void onFailed(long call, String reason) {
        if (isCurrent(call)) {
            current.endReason = reason;
        }
    }

    /** Called when the head of a response was received. */
    public void onResponseHead(long nowUs, long call, int status) {
        this.nowUs = nowUs;
        if (!isCurrent(call)) {
            return;
        }
        current.accepted = status == OK;
        if (!current.accepted) {
            // Discovery may no longer have the requested version.
            fetchWhole = status < FIRST_SERVER_ERROR;
            if (nowUs - current.startedUs < MAX_IMMEDIATE_REJECTION_US) {
                listener.onCallRejected();
            }
            abortCurrent("answered " + status);
        }
    }

    /**
     * Called when a part of the body of a response was received.
     *
     * @param arrivedUs the earliest time at which the bytes may have arrived; not after {@code
     *     nowUs}
     */
    public void onBody(long nowUs, long arrivedUs, long call, ByteBuf bytes) {
        this.nowUs = nowUs;
        boolean resumed = current == null && isPrevious(call);
        if (resumed) {
            current = previous;
            previous = null;
            log.accept("discovery: the abandoned watch has sent data again");
        }
        Call receiver = isPrevious(call) ? previous : current;
        if (receiver != null && receiver.number == call && receiver.accepted) {
            receiver.read(Math.max(arrivedUs, receiver.startedUs), bytes);
        }
        if (resumed && current != null) {
            checkSilence();
        }
    }

    /** Called when a response is complete. */
    public void onResponseEnd(long nowUs, long call) {
        this.nowUs = nowUs;
        if (isCurrent(call)) {
            if (current.scanner.hasIncompleteObject()) {
                current.onSkipped("it was truncated by the end of the response");
            } else {
                abortCurrent("the response ended");
            }
        }
    }

    /** Called when the connection of a call is closed. */
    public void onClosed(long nowUs, long call) {
        this.nowUs = nowUs;
        if (isCurrent(call)) {
            finishCurrent();
        } else if (isPrevious(call)) {
            previous = null;
        }
    }

    /** Runs the actions that are due at the given time. */
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

    /** Closes all connections to discovery; no further call is made. */
    public void stop() {
        stopped = true;
        if (current != null) {
            transport.closeCall(current.number);
            current = null;
        }
        closePrevious();
    }

    // ---- open calls

    private boolean isCurrent(long call) {
        return current != null && current.number == call;
    }

    private boolean isPrevious(long call) {
        return previous != null && previous.number == call;
    }

    /** Abandons a call. A watch is still read until another call gets a response. */
    private void abandon(Call call) {
        if (call.accepted && !call.isFetch && !call.scanner.hasIncompleteObject()) {
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

    /**
     * Ends the current call if it has received no complete message for too long; otherwise
     * schedules the next check.
     */
    private void checkSilence() {
        long limitMs = current.messageReceived ? budget.silenceTimeoutMs() : messageTimeoutMs;
        long timeoutAtUs = current.lastMessageUs + millisToMicros(limitMs);
        if (nowUs < timeoutAtUs) {
            wakeAt(timeoutAtUs);
        } else if (current.scanner.hasIncompleteObject()) {
            current.onSkipped("it did not end");
        } else {
            Call silentCall = current;
            silentCall.endReason = "no message for " + limitMs + " ms";
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
                        + lastVersion
                        + " ended after "
                        + microsToMillis(nowUs - call.startedUs)
                        + " ms, "
                        + (call.messageReceived
                                ? "last message "
                                        + microsToMillis(nowUs - call.lastMessageUs)
                                        + " ms ago"
                                : "without a message")
                        + ": "
                        + call.endReason
                        + (call.scanner.hasIncompleteObject() ? ", inside an object" : ""));
        // If discovery must be asked for changes, the decision module is notified and chooses when
        // to call again.
        listener.onWatchLost();
        if (!config.onRequest()) {
            repeatAfter(call);
        }
    }

    /**
     * Starts the next call after one that has ended: at once after a watch, and after a random
     * delay after a call that waited in vain. Calls that are rejected at the same time and repeated
     * at the same time would be rejected together again.
     */
    private void repeatAfter(Call ended) {
        if (ended.messageReceived && nowUs - ended.startedUs >= MIN_RESUME_INTERVAL_US) {
            startWatch(nowUs);
        } else {
            nextCallUs = nowUs + millisToMicros(backoff.nextDelayMs());
            wakeAt(nextCallUs);
        }
    }

    private static long millisToMicros(long ms) {
        return TimeUnit.MILLISECONDS.toMicros(ms);
    }

    private static long microsToMillis(long us) {
        return TimeUnit.MICROSECONDS.toMillis(us);
    }

    /**
     * One call to discovery with its response: a stream of lists and changes, or a single whole
     * list.
     */
    private final class Call implements JsonObjectScanner.Listener {
        private final long number;
        private final boolean isFetch;
        private final long fromVersion = lastVersion;
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
            if (!scanner.hasIncompleteObject()) {
                objectStartedUs = arrivedUs;
                pendingReported = false;
            }
            scanner.read(bytes);
            if (this == current && (scanner.hasIncompleteObject() || messageReceived)) {
                // Whatever discovery writes from now on is written to this call as well.
                closePrevious();
            }
            boolean open = this == current || this == previous;
            if (open && scanner.hasIncompleteObject() && !pendingReported) {
                pendingReported = true;
                listener.onMessagePending(objectStartedUs);
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
            if (list.index() < lastVersion) {
                // Versions only increase. Applying an older one would undo later changes, such as
                // the drain of a server.
                skipOlder(list);
                return;
            }
            if (!messageReceived && !list.whole() && fromVersion < lastVersion) {
                // A server may have changed and changed back after the requested version. The
                // message then omits it, but the known list may hold the change in between.
                onSkipped(
                        "its changes are from version "
                                + fromVersion
                                + ", and "
                                + lastVersion
                                + " is known");
                return;
            }
            ListFreshness freshness = freshness(objectStartedUs);
            if (this == current) {
                recordMessage("version " + list.index());
            }
            lastVersion = list.index();
            fetchWhole = false;
            listFetched = isFetch;
            backoff.reset();
            listener.onList(list, freshness);
        }

        /**
         * Records a complete message. Only the first message of a call is logged, as a rollout
         * causes several versions per second.
         */
        private void recordMessage(String content) {
            if (!messageReceived) {
                log.accept(
                        "discovery: "
                                + content
                                + " received after "
                                + microsToMillis(nowUs - startedUs)
                                + " ms");
            }
            messageReceived = true;
            lastMessageUs = arrivedUs;
            messageTimeoutMs = budget.initialMessageTimeoutMs();
            if (!config.onRequest()) {
                // A pushed list is out of use from this time on, so the next call must not be late.
                wakeAt(lastMessageUs + millisToMicros(budget.silenceTimeoutMs()));
            }
        }

        /** Handles an empty line, by which a watch confirms that there are no changes. */
        @Override
        public void onEmptyLine() {
            if (this != current) {
                return;
            }
            backoff.reset();
            boolean first = !messageReceived;
            // The first empty line may be sent while the call is still queued.
            ListFreshness freshness = freshness(first ? startedUs : arrivedUs);
            recordMessage("no change since version " + lastVersion);
            if (!first) {
                listener.onUnchanged(freshness);
            } else if (!isFetch) {
                listener.onList(new EndpointList(lastVersion, false, List.of()), freshness);
            }
        }

        /**
         * Returns the freshness of the list after a message that was sent at the given time. A
         * response includes all changes that discovery had when the response began; on a watch,
         * later changes may follow.
         */
        private ListFreshness freshness(long sentUs) {
            long asOfUs = messageReceived ? sentUs - MAX_CHANGE_DELAY_US : sentUs;
            return new ListFreshness(
                    asOfUs,
                    isFetch || this == previous
                            ? asOfUs
                            : arrivedUs + millisToMicros(budget.silenceTimeoutMs()));
        }

        private void skipOlder(EndpointList list) {
            if (!list.whole()) {
                // The message may have changes of other servers, which no other message repeats.
                fetchWhole = true;
            }
            onSkipped("its version " + list.index() + " is older than " + lastVersion);
        }

        /**
         * Closes the call after a message that cannot be read, so that the content of that message
         * is requested again: later messages do not repeat it.
         */
        @Override
        public void onSkipped(String reason) {
            if (this == current || this == previous) {
                log.accept("discovery: a list is skipped: " + reason);
                listener.onMessagePending(objectStartedUs);
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
