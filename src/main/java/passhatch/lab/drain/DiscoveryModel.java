package passhatch.lab.drain;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.lab.drain.DrainRecord.Call;
import passhatch.lab.drain.DrainRecord.Change;
import passhatch.lab.drain.DrainRecord.Outage;
import passhatch.lab.drain.DrainRecord.Written;
import passhatch.lab.sim.EventQueue;

/**
 * Discovery in simulated time, by the protocol's page, with every way of doing badly that the pages
 * name. It writes its own account of the run.
 */
final class DiscoveryModel {

    /** How it treats calls that are made now. */
    enum Mode {
        /** Answers within milliseconds. */
        WELL,
        /** Answers seconds later. */
        SLOW,
        /** Has a call wait and turns it away, or turns it away at once. */
        CROWDED,
        /** Accepts a call and never answers. */
        DEAF,
        /** Cannot be reached. */
        DOWN
    }

    /** What may become of a thing that is to be told. */
    enum Telling {
        WHOLE,
        /** Its bytes are cut off within, and the watch goes on. */
        CUT,
        /** The watch ends in its place. */
        ENDED
    }

    private static final long EMPTY_LINE_EVERY_US = 2_000_000;
    private static final long OLD_ADDRESS_CLOSES_US = 1_500_000;
    private static final long LONGEST_ANSWER_US = 5_000_000;
    private static final long LONGEST_QUEUE_US = 3_000_000;
    private static final long PIECE_LATE_US = 150_000;
    private static final long MOST_BEHIND = 4;
    private static final long TRAVEL_US = 300;

    /** One call, from when it arrives until either side ends it. */
    private final class OpenCall {
        private final long number;
        private final long fromUs;
        private final ProxyModel caller;
        private long answeredUs = DrainRecord.NEVER;
        private long silentUs = DrainRecord.NEVER;
        private boolean open = true;
        private boolean failed;
        private long lastArrivalUs;

        /** Changes that the watch is still to tell, in their order. */
        private final ArrayDeque<Long> late = new ArrayDeque<>();

        OpenCall(long number, ProxyModel caller) {
            this.number = number;
            this.fromUs = queue.nowUs();
            this.caller = caller;
        }

        boolean speaks() {
            return open && silentUs == DrainRecord.NEVER;
        }

        void write(String text) {
            if (!speaks()) {
                return;
            }
            int cut = pieces ? random.nextInt(text.length() + 1) : text.length();
            deliver(text.substring(0, cut), TRAVEL_US);
            if (cut < text.length()) {
                deliver(text.substring(cut), TRAVEL_US + random.nextLong(PIECE_LATE_US));
            }
        }

        private void deliver(String text, long afterUs) {
            inOrder(afterUs, () -> caller.body(number, text));
        }

        /** A connection brings what was written in its order. */
        private void inOrder(long afterUs, Runnable what) {
            lastArrivalUs = Math.max(lastArrivalUs, queue.nowUs() + afterUs);
            queue.scheduleAt(lastArrivalUs, what);
        }

        /** Ends it for the caller as well. */
        void close(String why) {
            if (open) {
                over();
                inOrder(TRAVEL_US, () -> caller.closed(number, why));
            }
        }

        void over() {
            if (open) {
                open = false;
                calls.remove(number);
                record.add(
                        new Call(
                                caller.name(),
                                fromUs,
                                answeredUs,
                                silentUs,
                                queue.nowUs(),
                                failed));
            }
        }
    }

    private final EventQueue<Runnable> queue;
    private final UniformRandomProvider random;
    private final DrainRecord record;
    private final Consumer<String> timeline;
    private final Map<String, String> statuses = new LinkedHashMap<>();
    private final Map<Long, OpenCall> calls = new LinkedHashMap<>();
    private final List<Map<String, String>> history = new ArrayList<>();
    private long version;
    private int port = 8500;
    private Mode mode = Mode.WELL;
    private long downSinceUs;

    /** A watch tells each change so much later at most. */
    private long lateUs;

    /** Answers and changes come in two pieces. */
    private boolean pieces;

    /** Of so many things to tell one is cut off, or its watch ends instead; 0 for none. */
    private int spoiltOneIn;

    /** Answers leave out what drains, and are the list of some versions ago. */
    private boolean behind;

    DiscoveryModel(
            EventQueue<Runnable> queue,
            UniformRandomProvider random,
            DrainRecord record,
            Consumer<String> timeline) {
        this.queue = queue;
        this.random = random;
        this.record = record;
        this.timeline = timeline;
        history.add(Map.of());
    }

    InetSocketAddress address() {
        return InetSocketAddress.createUnresolved("discovery", port);
    }

    String text() {
        return whole(version);
    }

    boolean isUp(String server) {
        return "SERVING".equals(statuses.get(server));
    }

    Mode mode() {
        return mode;
    }

    // ---- what happens to it

    /** The list changes: a server serves, drains or is removed. */
    void change(String server, String status) {
        version++;
        statuses.put(server, status);
        history.add(new LinkedHashMap<>(statuses));
        record.add(new Change(queue.nowUs(), version, server, status.equals("SERVING")));
        timeline.accept("version " + version + ": " + server + " " + status);
        long told = version;
        for (OpenCall call : List.copyOf(calls.values())) {
            if (call.answeredUs != DrainRecord.NEVER) {
                call.late.add(told);
                long afterUs = lateUs == 0 ? 0 : random.nextLong(lateUs + 1);
                queue.scheduleAfter(afterUs, () -> tellLate(call));
            }
        }
    }

    void mode(Mode next) {
        if (mode == Mode.DOWN && next != Mode.DOWN) {
            record.add(new Outage(downSinceUs, queue.nowUs()));
        }
        if (mode != Mode.DOWN && next == Mode.DOWN) {
            downSinceUs = queue.nowUs();
            breakWatches();
        }
        mode = next;
        timeline.accept("discovery is " + next);
    }

    void telling(long lateUs, boolean pieces, int spoiltOneIn, boolean behind) {
        this.lateUs = lateUs;
        this.pieces = pieces;
        this.spoiltOneIn = spoiltOneIn;
        this.behind = behind;
        timeline.accept(
                "discovery tells up to "
                        + lateUs / 1_000
                        + " ms late"
                        + (pieces ? ", in pieces" : "")
                        + (spoiltOneIn > 0 ? ", one in " + spoiltOneIn + " spoilt" : "")
                        + (behind ? ", old lists" : ""));
    }

    void breakWatches() {
        timeline.accept("all calls are reset");
        List.copyOf(calls.values()).forEach(c -> c.close("reset"));
    }

    void silenceWatches() {
        timeline.accept("all calls fall silent");
        for (OpenCall call : calls.values()) {
            call.silentUs = Math.min(call.silentUs, queue.nowUs());
        }
    }

    /** It is found at another address; the old one closes what is open there a while later. */
    void move() {
        port++;
        List<OpenCall> old = List.copyOf(calls.values());
        queue.scheduleAfter(OLD_ADDRESS_CLOSES_US, () -> old.forEach(c -> c.close("moved")));
    }

    /** The run is over: what is still open is written down. */
    void end() {
        List.copyOf(calls.values()).forEach(OpenCall::over);
        if (mode == Mode.DOWN) {
            record.add(new Outage(downSinceUs, queue.nowUs()));
        }
    }

    // ---- calls

    void called(ProxyModel caller, long number, InetSocketAddress at, String path) {
        OpenCall call = new OpenCall(number, caller);
        calls.put(number, call);
        if (at.getPort() != port || mode == Mode.DOWN && random.nextBoolean()) {
            call.failed = true;
            call.close("refused");
            return;
        }
        if (mode != Mode.DOWN) {
            caller.connected(number);
        }
        switch (mode) {
            case WELL -> later(random.nextLong(1_000, 20_000), () -> answer(call, path));
            case SLOW -> later(random.nextLong(LONGEST_ANSWER_US), () -> answer(call, path));
            case DOWN -> later(LONGEST_QUEUE_US, () -> turnAway(call));
            case CROWDED -> crowded(call, path);
            case DEAF -> call.silentUs = queue.nowUs();
        }
    }

    private void crowded(OpenCall call, String path) {
        long waitsUs = random.nextBoolean() ? 20_000 : random.nextLong(LONGEST_QUEUE_US);
        if (random.nextInt(3) == 0) {
            later(waitsUs, () -> answer(call, path));
        } else {
            later(waitsUs, () -> turnAway(call));
        }
    }

    private void later(long afterUs, Runnable what) {
        queue.scheduleAfter(TRAVEL_US + afterUs, what);
    }

    /** The proxy has ended the call. */
    void hungUp(long number) {
        OpenCall call = calls.get(number);
        if (call != null) {
            call.over();
        }
    }

    private void turnAway(OpenCall call) {
        if (call.speaks()) {
            call.failed = true;
            call.over();
            call.inOrder(TRAVEL_US, () -> call.caller.answered(call.number, 503));
        }
    }

    private void answer(OpenCall call, String path) {
        if (!call.speaks()) {
            return;
        }
        call.answeredUs = queue.nowUs();
        call.inOrder(TRAVEL_US, () -> call.caller.answered(call.number, 200));
        int from = path.indexOf("from=");
        if (from < 0) {
            tell(call, whole(version), version);
            queue.scheduleAfter(2 * TRAVEL_US + PIECE_LATE_US, () -> call.close("answered"));
            return;
        }
        long heard = Long.parseLong(path.substring(from + "from=".length()));
        // The pages have an answer hold all after the version asked for: one that is behind shows
        // it.
        boolean older = behind && heard > 1 && heard <= version;
        long told = older ? heard - 1 - random.nextLong(Math.min(heard, MOST_BEHIND)) : version;
        boolean whole = older || heard == 0 || heard > version || random.nextInt(3) == 0;
        tell(call, whole ? whole(told) : changes(heard), told);
        queue.scheduleAfter(EMPTY_LINE_EVERY_US, () -> emptyLine(call));
    }

    private void emptyLine(OpenCall call) {
        if (call.speaks()) {
            call.write("\n");
            queue.scheduleAfter(EMPTY_LINE_EVERY_US, () -> emptyLine(call));
        }
    }

    /** The first of the changes that a watch has not told yet. */
    private void tellLate(OpenCall call) {
        Long told = call.late.poll();
        if (told != null && call.speaks()) {
            tell(call, changes(told - 1, told), told);
        }
    }

    private void tell(OpenCall call, String text, long told) {
        switch (spoilt()) {
            case ENDED -> call.close("ended instead of telling");
            case CUT -> {
                record.add(new Written(queue.nowUs(), call.caller.name(), told));
                timeline.accept("version " + told + " is written and cut off");
                call.write(text.substring(0, 2 + random.nextInt(text.length() - 2)) + "\n");
            }
            default -> {
                record.add(new Written(queue.nowUs(), call.caller.name(), told));
                timeline.accept("version " + told + " is written");
                call.write(text + "\n");
            }
        }
    }

    private Telling spoilt() {
        if (spoiltOneIn == 0 || random.nextInt(spoiltOneIn) > 0) {
            return Telling.WHOLE;
        }
        return random.nextBoolean() ? Telling.CUT : Telling.ENDED;
    }

    // ---- its messages

    /** The list of a version; some answers leave out what drains. */
    private String whole(long at) {
        boolean leavesOut = behind || random.nextBoolean();
        List<String> entries = new ArrayList<>();
        history.get((int) at)
                .forEach(
                        (server, status) -> {
                            if (status.equals("SERVING")
                                    || status.equals("DRAINING") && !leavesOut) {
                                entries.add(entry(server, status));
                            }
                        });
        return message(at, true, entries);
    }

    private String changes(long after) {
        return changes(after, version);
    }

    private String changes(long after, long upTo) {
        List<String> entries = new ArrayList<>();
        Map<String, String> then = history.get((int) upTo);
        Map<String, String> before = history.get((int) after);
        then.forEach(
                (server, status) -> {
                    if (!status.equals(before.get(server))) {
                        entries.add(entry(server, status));
                    }
                });
        return message(upTo, false, entries);
    }

    private static String message(long index, boolean whole, List<String> entries) {
        return "{\"index\":"
                + index
                + ",\"snapshot\":"
                + whole
                + ",\"endpoints\":["
                + String.join(",", entries)
                + "]}";
    }

    private static String entry(String server, String status) {
        return "{\"name\":\""
                + server
                + "\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\""
                + status
                + "\",\"weight\":1.0,\"since_ms\":0}";
    }
}
