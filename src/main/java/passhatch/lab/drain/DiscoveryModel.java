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
import passhatch.lab.drain.DrainRecord.WrittenVersion;
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
    enum Delivery {
        COMPLETE,
        /** Its bytes are cut off within, and the watch goes on. */
        TRUNCATED,
        /** The watch ends in its place. */
        CLOSED
    }

    private static final long EMPTY_LINE_INTERVAL_US = 2_000_000;
    private static final long OLD_ADDRESS_CLOSE_DELAY_US = 1_500_000;
    private static final long MAX_RESPONSE_DELAY_US = 5_000_000;
    private static final long MAX_QUEUE_DELAY_US = 3_000_000;
    private static final long MAX_PIECE_DELAY_US = 150_000;
    private static final long MAX_VERSIONS_BEHIND = 4;
    private static final long NETWORK_DELAY_US = 300;

    /** One call, from when it arrives until either side ends it. */
    private final class OpenCall {
        private final long number;
        private final long startedUs;
        private final ProxyModel caller;
        private long responseUs = DrainRecord.NEVER;
        private long silentUs = DrainRecord.NEVER;
        private boolean open = true;
        private boolean failed;
        private long lastArrivalUs;

        /** Changes that the watch is still to tell, in their order. */
        private final ArrayDeque<Long> pendingVersions = new ArrayDeque<>();

        OpenCall(long number, ProxyModel caller) {
            this.number = number;
            this.startedUs = queue.nowUs();
            this.caller = caller;
        }

        boolean canWrite() {
            return open && silentUs == DrainRecord.NEVER;
        }

        void write(String text) {
            if (!canWrite()) {
                return;
            }
            int cut = splitWrites ? random.nextInt(text.length() + 1) : text.length();
            deliver(text.substring(0, cut), NETWORK_DELAY_US);
            if (cut < text.length()) {
                deliver(
                        text.substring(cut),
                        NETWORK_DELAY_US + random.nextLong(MAX_PIECE_DELAY_US));
            }
        }

        private void deliver(String text, long afterUs) {
            scheduleInOrder(afterUs, () -> caller.onBody(number, text));
        }

        /** A connection brings what was written in its order. */
        private void scheduleInOrder(long afterUs, Runnable what) {
            lastArrivalUs = Math.max(lastArrivalUs, queue.nowUs() + afterUs);
            queue.scheduleAt(lastArrivalUs, what);
        }

        /** Ends it for the caller as well. */
        void close(String why) {
            if (open) {
                recordEnd();
                scheduleInOrder(NETWORK_DELAY_US, () -> caller.onClosed(number, why));
            }
        }

        void recordEnd() {
            if (open) {
                open = false;
                calls.remove(number);
                record.add(
                        new Call(
                                caller.name(),
                                startedUs,
                                responseUs,
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
    private long maxWatchDelayUs;

    /** Answers and changes come in two pieces. */
    private boolean splitWrites;

    /** Of so many things to tell one is cut off, or its watch ends instead; 0 for none. */
    private int failedDeliveryOneIn;

    /** Answers leave out what drains, and are the list of some versions ago. */
    private boolean staleLists;

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

    String currentList() {
        return listMessage(version);
    }

    boolean isUp(String server) {
        return "SERVING".equals(statuses.get(server));
    }

    Mode mode() {
        return mode;
    }

    // ---- what happens to it

    /** The list changes: a server serves, drains or is removed. */
    void changeStatus(String server, String status) {
        version++;
        statuses.put(server, status);
        history.add(new LinkedHashMap<>(statuses));
        record.add(new Change(queue.nowUs(), version, server, status.equals("SERVING")));
        timeline.accept("version " + version + ": " + server + " " + status);
        long told = version;
        for (OpenCall call : List.copyOf(calls.values())) {
            if (call.responseUs != DrainRecord.NEVER) {
                call.pendingVersions.add(told);
                long afterUs = maxWatchDelayUs == 0 ? 0 : random.nextLong(maxWatchDelayUs + 1);
                queue.scheduleAfter(afterUs, () -> writePendingVersion(call));
            }
        }
    }

    void mode(Mode next) {
        if (mode == Mode.DOWN && next != Mode.DOWN) {
            record.add(new Outage(downSinceUs, queue.nowUs()));
        }
        if (mode != Mode.DOWN && next == Mode.DOWN) {
            downSinceUs = queue.nowUs();
            resetCalls();
        }
        mode = next;
        timeline.accept("discovery is " + next);
    }

    void setDelivery(long lateUs, boolean pieces, int spoiltOneIn, boolean behind) {
        this.maxWatchDelayUs = lateUs;
        this.splitWrites = pieces;
        this.failedDeliveryOneIn = spoiltOneIn;
        this.staleLists = behind;
        timeline.accept(
                "discovery tells up to "
                        + lateUs / 1_000
                        + " ms late"
                        + (pieces ? ", in pieces" : "")
                        + (spoiltOneIn > 0 ? ", one in " + spoiltOneIn + " spoilt" : "")
                        + (behind ? ", old lists" : ""));
    }

    void resetCalls() {
        timeline.accept("all calls are reset");
        List.copyOf(calls.values()).forEach(c -> c.close("reset"));
    }

    void silenceCalls() {
        timeline.accept("all calls fall silent");
        for (OpenCall call : calls.values()) {
            call.silentUs = Math.min(call.silentUs, queue.nowUs());
        }
    }

    /** It is found at another address; the old one closes what is open there a while later. */
    void changeAddress() {
        port++;
        List<OpenCall> old = List.copyOf(calls.values());
        queue.scheduleAfter(OLD_ADDRESS_CLOSE_DELAY_US, () -> old.forEach(c -> c.close("moved")));
    }

    /** The run is over: what is still open is written down. */
    void completeRecord() {
        List.copyOf(calls.values()).forEach(OpenCall::recordEnd);
        if (mode == Mode.DOWN) {
            record.add(new Outage(downSinceUs, queue.nowUs()));
        }
    }

    // ---- calls

    void onCall(ProxyModel caller, long number, InetSocketAddress at, String path) {
        OpenCall call = new OpenCall(number, caller);
        calls.put(number, call);
        if (at.getPort() != port || mode == Mode.DOWN && random.nextBoolean()) {
            call.failed = true;
            call.close("refused");
            return;
        }
        if (mode != Mode.DOWN) {
            caller.onConnected(number);
        }
        switch (mode) {
            case WELL -> scheduleAfter(random.nextLong(1_000, 20_000), () -> respond(call, path));
            case SLOW ->
                    scheduleAfter(
                            random.nextLong(MAX_RESPONSE_DELAY_US), () -> respond(call, path));
            case DOWN -> scheduleAfter(MAX_QUEUE_DELAY_US, () -> reject(call));
            case CROWDED -> handleWhileOverloaded(call, path);
            case DEAF -> call.silentUs = queue.nowUs();
        }
    }

    private void handleWhileOverloaded(OpenCall call, String path) {
        long waitsUs = random.nextBoolean() ? 20_000 : random.nextLong(MAX_QUEUE_DELAY_US);
        if (random.nextInt(3) == 0) {
            scheduleAfter(waitsUs, () -> respond(call, path));
        } else {
            scheduleAfter(waitsUs, () -> reject(call));
        }
    }

    private void scheduleAfter(long afterUs, Runnable what) {
        queue.scheduleAfter(NETWORK_DELAY_US + afterUs, what);
    }

    /** The proxy has ended the call. */
    void onCallClosed(long number) {
        OpenCall call = calls.get(number);
        if (call != null) {
            call.recordEnd();
        }
    }

    private void reject(OpenCall call) {
        if (call.canWrite()) {
            call.failed = true;
            call.recordEnd();
            call.scheduleInOrder(
                    NETWORK_DELAY_US, () -> call.caller.onResponseHead(call.number, 503));
        }
    }

    private void respond(OpenCall call, String path) {
        if (!call.canWrite()) {
            return;
        }
        call.responseUs = queue.nowUs();
        call.scheduleInOrder(NETWORK_DELAY_US, () -> call.caller.onResponseHead(call.number, 200));
        int from = path.indexOf("from=");
        if (from < 0) {
            writeMessage(call, listMessage(version), version);
            queue.scheduleAfter(
                    2 * NETWORK_DELAY_US + MAX_PIECE_DELAY_US, () -> call.close("answered"));
            return;
        }
        long heard = Long.parseLong(path.substring(from + "from=".length()));
        // The pages have an answer hold all after the version asked for: one that is behind shows
        // it.
        boolean older = staleLists && heard > 1 && heard <= version;
        long told =
                older ? heard - 1 - random.nextLong(Math.min(heard, MAX_VERSIONS_BEHIND)) : version;
        boolean whole = older || heard == 0 || heard > version || random.nextInt(3) == 0;
        writeMessage(call, whole ? listMessage(told) : changesMessage(heard), told);
        queue.scheduleAfter(EMPTY_LINE_INTERVAL_US, () -> writeEmptyLine(call));
    }

    private void writeEmptyLine(OpenCall call) {
        if (call.canWrite()) {
            call.write("\n");
            queue.scheduleAfter(EMPTY_LINE_INTERVAL_US, () -> writeEmptyLine(call));
        }
    }

    /** The first of the changes that a watch has not told yet. */
    private void writePendingVersion(OpenCall call) {
        Long told = call.pendingVersions.poll();
        if (told != null && call.canWrite()) {
            writeMessage(call, changesMessage(told - 1, told), told);
        }
    }

    private void writeMessage(OpenCall call, String text, long told) {
        switch (drawDelivery()) {
            case CLOSED -> call.close("ended instead of telling");
            case TRUNCATED -> {
                record.add(new WrittenVersion(queue.nowUs(), call.caller.name(), told));
                timeline.accept("version " + told + " is written and cut off");
                call.write(text.substring(0, 2 + random.nextInt(text.length() - 2)) + "\n");
            }
            default -> {
                record.add(new WrittenVersion(queue.nowUs(), call.caller.name(), told));
                timeline.accept("version " + told + " is written");
                call.write(text + "\n");
            }
        }
    }

    private Delivery drawDelivery() {
        if (failedDeliveryOneIn == 0 || random.nextInt(failedDeliveryOneIn) > 0) {
            return Delivery.COMPLETE;
        }
        return random.nextBoolean() ? Delivery.TRUNCATED : Delivery.CLOSED;
    }

    // ---- its messages

    /** The list of a version; some answers leave out what drains. */
    private String listMessage(long at) {
        boolean leavesOut = staleLists || random.nextBoolean();
        List<String> entries = new ArrayList<>();
        history.get((int) at)
                .forEach(
                        (server, status) -> {
                            if (status.equals("SERVING")
                                    || status.equals("DRAINING") && !leavesOut) {
                                entries.add(formatEntry(server, status));
                            }
                        });
        return formatMessage(at, true, entries);
    }

    private String changesMessage(long after) {
        return changesMessage(after, version);
    }

    private String changesMessage(long after, long upTo) {
        List<String> entries = new ArrayList<>();
        Map<String, String> then = history.get((int) upTo);
        Map<String, String> before = history.get((int) after);
        then.forEach(
                (server, status) -> {
                    if (!status.equals(before.get(server))) {
                        entries.add(formatEntry(server, status));
                    }
                });
        return formatMessage(upTo, false, entries);
    }

    private static String formatMessage(long index, boolean whole, List<String> entries) {
        return "{\"index\":"
                + index
                + ",\"snapshot\":"
                + whole
                + ",\"endpoints\":["
                + String.join(",", entries)
                + "]}";
    }

    private static String formatEntry(String server, String status) {
        return "{\"name\":\""
                + server
                + "\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\""
                + status
                + "\",\"weight\":1.0,\"since_ms\":0}";
    }
}
