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
 * to be done goes to a {@link Carrier}. All times are microseconds of one clock.
 */
public final class ListWatch {

    /** More bytes than this are no list of backends. */
    private static final int LONGEST_LIST = 1 << 22;

    /** Where discovery is asked, a change may still be on its way this long after it was made. */
    private static final long LATEST_CHANGE_US =
            TimeUnit.MILLISECONDS.toMicros(WatchBudget.EMPTY_LINE_EVERY_MS);

    /** A refusal that takes longer may be one of a discovery that is down. */
    private static final long TURNED_AWAY_AT_ONCE_US = TimeUnit.SECONDS.toMicros(1);

    private static final int OK = 200;

    /** Below are refusals that say something of the call; above, of discovery's own state. */
    private static final int FIRST_SERVER_ERROR = 500;

    /** Does what is decided here. */
    public interface Carrier {
        /** Opens a connection and asks for a path; the call's events name it by its number. */
        void call(long call, InetSocketAddress address, String path);

        /** Closes the connection of a call; nothing more of it is to be told. */
        void hangUp(long call);

        /** Asks for {@link ListWatch#time} at this time or after it. */
        void wakeAt(long atUs);
    }

    /** Hears what discovery says. */
    public interface Listener {
        /** The list, or changes to it, of which there may be none. */
        void listed(EndpointList list, ListFreshness currency);

        /** A watch with nothing to tell has said so. */
        void unchanged(ListFreshness currency);

        /**
         * Something was begun to be told that is not taken in; it may never be.
         *
         * @param sinceUs when that was
         */
        void pending(long sinceUs);

        /** No watch is alive any more: changes may be missed. */
        void lost();

        /** A connection to it stands, whatever comes of it. */
        void reached();

        /** It has turned a call away at once. */
        void turnedAway();

        /** It is found at another address from now on. */
        void moved();
    }

    /**
     * What there is to watch.
     *
     * @param known the list that is known already; empty where none is
     * @param onRequest whether the module says when to ask again after a watch has ended
     * @param zones names of the zones, by position
     * @param models names of the machine kinds, by position
     * @param drainGraceUs how long a server that drains may be sent something, in microseconds
     */
    public record Source(
            InetSocketAddress address,
            EndpointList known,
            boolean onRequest,
            List<String> zones,
            List<String> models,
            long drainGraceUs) {}

    private static final long NEVER = Long.MAX_VALUE;

    private final Source source;
    private final Carrier carrier;
    private final Listener listener;
    private final Consumer<String> log;
    private final Pauses pauses;
    private final WatchBudget budget;

    /** A call that has told nothing for so long is given up. */
    private long answerWithinMs;

    private long index;
    private boolean whole;
    private boolean stopped;
    private InetSocketAddress address;
    private long calls;
    private long callAgainUs = NEVER;
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
            Source source, long seed, Carrier carrier, Listener listener, Consumer<String> log) {
        this.source = source;
        this.carrier = carrier;
        this.listener = listener;
        this.log = log;
        this.address = source.address();
        this.budget = WatchBudget.of(source.onRequest(), source.drainGraceUs());
        this.answerWithinMs = budget.firstAnswerMs();
        this.pauses = new Pauses(budget.longestPauseMs(), seed);
        this.index = source.known().index();
        // A list may well have the version 0: a watch from there is one call, a list and a watch
        // are two.
        this.whole = index == 0 && source.known().endpoints().isEmpty();
    }

    /** How long a connection may take to come up, in milliseconds. */
    public long connectMs() {
        return budget.connectMs();
    }

    // ---- events

    /** Goes on at another address; the watch at the old one is given up. */
    public void moveTo(long nowUs, InetSocketAddress to) {
        this.nowUs = nowUs;
        address = to;
        Call old = current;
        listener.moved();
        pauses.reset();
        current = null;
        watch(nowUs);
        if (old != null) {
            leave(old);
        }
    }

    /** Starts a watch unless one is out; one that ends is taken up again unless the module asks. */
    public void watch(long nowUs) {
        this.nowUs = nowUs;
        if (stopped || current != null) {
            return;
        }
        callAgainUs = NEVER;
        Call call = new Call(++calls, whole, nowUs);
        current = call;
        log.accept("discovery: call from version " + index + " to " + address + " begins");
        carrier.call(
                call.number,
                address,
                call.fetch ? "/v1/endpoints" : "/v1/endpoints?watch=1&from=" + index);
        awaitNews();
    }

    /** The connection of a call stands. */
    public void connected(long call) {
        if (isCurrent(call)) {
            listener.reached();
        }
    }

    /** The connection of a call failed; its end follows. */
    public void failed(long call, String why) {
        if (isCurrent(call)) {
            current.endReason = why;
        }
    }

    /** The head of an answer has come. */
    public void answered(long nowUs, long call, int status) {
        this.nowUs = nowUs;
        if (!isCurrent(call)) {
            return;
        }
        current.ok = status == OK;
        if (!current.ok) {
            // It may no longer know the version asked for.
            whole = status < FIRST_SERVER_ERROR;
            if (nowUs - current.begunUs < TURNED_AWAY_AT_ONCE_US) {
                listener.turnedAway();
            }
            giveUp("answered " + status);
        }
    }

    /**
     * A part of an answer's body has come.
     *
     * @param arrivedUs since when it may have stood unread; not after now
     */
    public void body(long nowUs, long arrivedUs, long call, ByteBuf bytes) {
        this.nowUs = nowUs;
        boolean speaksAgain = current == null && isPrevious(call);
        if (speaksAgain) {
            current = previous;
            previous = null;
            log.accept("discovery: a watch that was silent speaks again");
        }
        Call heard = isPrevious(call) ? previous : current;
        if (heard != null && heard.number == call && heard.ok) {
            heard.read(Math.max(arrivedUs, heard.begunUs), bytes);
        }
        if (speaksAgain && current != null) {
            awaitNews();
        }
    }

    /** An answer is whole. */
    public void answerEnded(long nowUs, long call) {
        this.nowUs = nowUs;
        if (isCurrent(call)) {
            if (current.values.pending()) {
                current.skipped("it is cut off by the end of the answer");
            } else {
                giveUp("the answer ended");
            }
        }
    }

    /** The connection of a call is closed. */
    public void closed(long nowUs, long call) {
        this.nowUs = nowUs;
        if (isCurrent(call)) {
            ended();
        } else if (isPrevious(call)) {
            previous = null;
        }
    }

    /** Does what is due by now. */
    public void time(long nowUs) {
        this.nowUs = nowUs;
        if (wakeAtUs <= nowUs) {
            wakeAtUs = NEVER;
        }
        if (current != null) {
            awaitNews();
        } else if (callAgainUs <= nowUs) {
            watch(nowUs);
        }
    }

    /** Nothing is called any more. */
    public void stop() {
        stopped = true;
        if (current != null) {
            carrier.hangUp(current.number);
            current = null;
        }
        hangUpPrevious();
    }

    // ---- the call that is out

    private boolean isCurrent(long call) {
        return current != null && current.number == call;
    }

    private boolean isPrevious(long call) {
        return previous != null && previous.number == call;
    }

    /** Gives a call up; a watch is listened to until another call is answered. */
    private void leave(Call call) {
        if (call.ok && !call.fetch && !call.values.pending()) {
            hangUpPrevious();
            previous = call;
        } else {
            carrier.hangUp(call.number);
        }
    }

    private void hangUpPrevious() {
        if (previous != null) {
            long number = previous.number;
            previous = null;
            carrier.hangUp(number);
        }
    }

    /** Bytes that tell nothing are no news, and neither is a list that has begun. */
    private void awaitNews() {
        long limitMs = current.heard ? budget.silenceMs() : answerWithinMs;
        long overUs = current.heardUs + millisToMicros(limitMs);
        if (nowUs < overUs) {
            wakeAt(overUs);
        } else if (current.values.pending()) {
            current.skipped("it did not end");
        } else {
            Call silent = current;
            silent.endReason = "nothing was told for " + limitMs + " ms";
            ended();
            leave(silent);
        }
    }

    private void wakeAt(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            carrier.wakeAt(atUs);
        }
    }

    private void giveUp(String why) {
        long number = current.number;
        current.endReason = why;
        ended();
        carrier.hangUp(number);
    }

    private void ended() {
        Call call = current;
        current = null;
        if (call.fetched) {
            watch(nowUs);
            return;
        }
        if (!call.heard && millis(nowUs - call.begunUs) >= answerWithinMs) {
            answerWithinMs = Math.min(2 * answerWithinMs, budget.longestAnswerMs());
        }
        log.accept(
                "discovery: the watch from index "
                        + index
                        + " ended after "
                        + millis(nowUs - call.begunUs)
                        + " ms, "
                        + (call.heard
                                ? "last heard " + millis(nowUs - call.heardUs) + " ms ago"
                                : "with nothing heard")
                        + ": "
                        + call.endReason
                        + (call.values.pending() ? ", within an object" : ""));
        if (!source.onRequest()) {
            callAgainUs = nowUs + millisToMicros(pauses.next());
            wakeAt(callAgainUs);
        }
        // Where discovery has to be asked, the module hears of it and says when to ask again.
        listener.lost();
    }

    private static long millisToMicros(long ms) {
        return TimeUnit.MILLISECONDS.toMicros(ms);
    }

    private static long millis(long us) {
        return TimeUnit.MICROSECONDS.toMillis(us);
    }

    /** One answer of discovery: lists and changes as they come, or one whole list. */
    private final class Call implements JsonValues.Listener {
        private final long number;
        private final boolean fetch;
        private final long askedFrom = index;
        private final JsonValues values = new JsonValues(LONGEST_LIST, this);
        private final long begunUs;
        private long arrivedUs;
        private long objectBegunUs;
        private boolean pendingSaid;
        private long heardUs;
        private boolean ok;
        private boolean heard;
        private boolean fetched;
        private String endReason = "its connection was closed";

        Call(long number, boolean fetch, long nowUs) {
            this.number = number;
            this.fetch = fetch;
            this.begunUs = nowUs;
            this.heardUs = nowUs;
        }

        void read(long arrivedAtUs, ByteBuf bytes) {
            arrivedUs = arrivedAtUs;
            if (!values.pending()) {
                objectBegunUs = arrivedUs;
                pendingSaid = false;
            }
            values.read(bytes);
            if (this == current && (values.pending() || heard)) {
                // What is written from now on is written here as well.
                hangUpPrevious();
            }
            boolean listenedTo = this == current || this == previous;
            if (listenedTo && values.pending() && !pendingSaid) {
                pendingSaid = true;
                listener.pending(objectBegunUs);
            }
        }

        @Override
        public void object(String text) {
            if (this != current && this != previous) {
                return;
            }
            EndpointList list;
            try {
                list = EndpointList.of(JSON.std.mapFrom(text), source.zones(), source.models());
            } catch (IOException | IllegalArgumentException bad) {
                skipped(bad.getMessage().lines().findFirst().orElse(""));
                return;
            }
            if (list.index() < index) {
                // Versions only grow: what was said since would be undone, such as that a server
                // drains.
                older(list);
                return;
            }
            if (!heard && !list.whole() && askedFrom < index) {
                // What changed back since then is not among the changes after the older version.
                skipped("it is told from version " + askedFrom + ", and " + index + " is known");
                return;
            }
            ListFreshness currency = currency(objectBegunUs);
            if (this == current) {
                hear("version " + list.index());
            }
            index = list.index();
            whole = false;
            fetched = fetch;
            pauses.reset();
            listener.listed(list, currency);
        }

        /** Said once a call: a release brings several versions a second. */
        private void hear(String what) {
            if (!heard) {
                log.accept(
                        "discovery: " + what + " heard after " + millis(nowUs - begunUs) + " ms");
            }
            heard = true;
            heardUs = arrivedUs;
            answerWithinMs = budget.firstAnswerMs();
        }

        /** A watch with nothing to tell says so by an empty line. */
        @Override
        public void emptyLine() {
            if (this != current) {
                return;
            }
            pauses.reset();
            boolean first = !heard;
            // The first may come while the call waits its turn.
            ListFreshness currency = currency(first ? begunUs : arrivedUs);
            hear("no change since version " + index);
            if (!first) {
                listener.unchanged(currency);
            } else if (!fetch) {
                listener.listed(new EndpointList(index, false, List.of()), currency);
            }
        }

        /** An answer has all that discovery had when it was begun; a watch may tell later. */
        private ListFreshness currency(long toldUs) {
            long asOfUs = heard && source.onRequest() ? toldUs - LATEST_CHANGE_US : toldUs;
            return new ListFreshness(
                    asOfUs,
                    fetch || this == previous
                            ? asOfUs
                            : arrivedUs + millisToMicros(budget.silenceMs()));
        }

        private void older(EndpointList list) {
            if (!list.whole()) {
                // What it says of other servers is nowhere else.
                whole = true;
            }
            skipped("its version " + list.index() + " is older than " + index);
        }

        /**
         * What was told and cannot be read is asked for again: nothing after it makes up for it.
         */
        @Override
        public void skipped(String why) {
            if (this == current || this == previous) {
                log.accept("discovery: a list is skipped: " + why);
                listener.pending(objectBegunUs);
                hangUpPrevious();
                end("a list was skipped");
            }
        }

        private void end(String why) {
            if (this == current) {
                giveUp(why);
            } else {
                hangUpPrevious();
            }
        }
    }
}
