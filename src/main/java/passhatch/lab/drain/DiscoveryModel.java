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
 * A model of discovery in simulated time. It follows the protocol and has every fault that the
 * specification names. The model records its own actions independently of the proxy.
 */
final class DiscoveryModel {

    /** How discovery handles calls that are started now. */
    enum Mode {
        /** Discovery responds within milliseconds; the normal mode. */
        WELL,
        /** Discovery responds up to 5 s later. */
        SLOW,
        /** Discovery is overloaded: it rejects most calls, at once or after they were queued. */
        CROWDED,
        /** Discovery accepts a call and never responds. */
        DEAF,
        /** Discovery is unreachable: connections fail, or calls are rejected after a while. */
        DOWN,
        /**
         * Discovery is unreachable behind an agent that pushes its lists: open watches fall silent,
         * and calls get their responses when discovery is back.
         */
        SILENT_OUTAGE;

        boolean isOutage() {
            return this == DOWN || this == SILENT_OUTAGE;
        }
    }

    /** What may happen to a message on a watch or in a response. */
    enum Delivery {
        /** The message is written in full. */
        COMPLETE,
        /** Only a part of the message is written, and the call stays open. */
        TRUNCATED,
        /** The call is closed without writing the message. */
        CLOSED
    }

    private static final long EMPTY_LINE_INTERVAL_US = 2_000_000;
    private static final long OLD_ADDRESS_CLOSE_DELAY_US = 1_500_000;
    private static final long MAX_RESPONSE_DELAY_US = 5_000_000;
    private static final long MAX_QUEUE_DELAY_US = 3_000_000;
    private static final long MAX_PIECE_DELAY_US = 150_000;
    private static final long MAX_VERSIONS_BEHIND = 4;
    private static final long NETWORK_DELAY_US = 300;

    /** A call, from its arrival until either side ends it. */
    private final class OpenCall {
        private final long number;
        private final long startedUs;
        private final ProxyModel caller;
        private long responseUs = DrainRecord.NEVER;
        private long silentFromUs = DrainRecord.NEVER;
        private boolean open = true;
        private boolean failed;
        private long lastArrivalUs;

        /** Versions of the list that are still to be written on the watch, in ascending order. */
        private final ArrayDeque<Long> pendingVersions = new ArrayDeque<>();

        OpenCall(long number, ProxyModel caller) {
            this.number = number;
            this.startedUs = queue.nowUs();
            this.caller = caller;
        }

        boolean canWrite() {
            return open && silentFromUs == DrainRecord.NEVER;
        }

        void write(String text) {
            if (!canWrite()) {
                return;
            }
            int splitAt = splitWrites ? random.nextInt(text.length() + 1) : text.length();
            deliver(text.substring(0, splitAt), NETWORK_DELAY_US);
            if (splitAt < text.length()) {
                deliver(
                        text.substring(splitAt),
                        NETWORK_DELAY_US + random.nextLong(MAX_PIECE_DELAY_US));
            }
        }

        private void deliver(String text, long delayUs) {
            scheduleInOrder(delayUs, () -> caller.onBody(number, text));
        }

        /** Schedules an event after all earlier ones: a connection delivers bytes in order. */
        private void scheduleInOrder(long delayUs, Runnable event) {
            lastArrivalUs = Math.max(lastArrivalUs, queue.nowUs() + delayUs);
            queue.scheduleAt(lastArrivalUs, event);
        }

        /** Ends the call on both sides. */
        void close(String reason) {
            if (open) {
                recordEnd();
                scheduleInOrder(NETWORK_DELAY_US, () -> caller.onClosed(number, reason));
            }
        }

        /** Ends the call on discovery's side and adds it to the record of the run. */
        void recordEnd() {
            if (open) {
                open = false;
                calls.remove(number);
                record.add(
                        new Call(
                                caller.name(),
                                startedUs,
                                responseUs,
                                silentFromUs,
                                queue.nowUs(),
                                failed));
            }
        }
    }

    private final EventQueue<Runnable> queue;
    private final UniformRandomProvider random;
    private final DrainRecord record;
    private final Consumer<String> timeline;
    private final Map<Long, OpenCall> calls = new LinkedHashMap<>();
    private final ListHistory history = new ListHistory();
    private int port = 8500;
    private Mode mode = Mode.WELL;
    private long downSinceUs;

    /** Calls that wait for the end of a {@link Mode#SILENT_OUTAGE}. */
    private final List<Runnable> heldResponses = new ArrayList<>();

    /** Maximum time from a change of the list until discovery writes the change on a watch. */
    private long maxWatchDelayUs;

    /** Whether messages arrive in two pieces. */
    private boolean splitWrites;

    /**
     * On average one in this number of messages fails: the message is truncated, or its call is
     * closed without writing it. 0 if no message fails.
     */
    private int failedDeliveryOneIn;

    /** Whether responses omit draining servers and hold the list of an earlier version. */
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
    }

    InetSocketAddress address() {
        return InetSocketAddress.createUnresolved("discovery", port);
    }

    String currentList() {
        return listMessage(history.version());
    }

    boolean isUp(String server) {
        return history.isUp(server);
    }

    Mode mode() {
        return mode;
    }

    // ---- changes and faults

    /** Sets the status of a server in a new version of the list: up, draining or removed. */
    void changeStatus(String server, String status) {
        long newVersion = history.change(server, status);
        record.add(new Change(queue.nowUs(), newVersion, server, history.isUp(server)));
        timeline.accept("version " + newVersion + ": " + server + " " + status);
        for (OpenCall call : List.copyOf(calls.values())) {
            if (call.responseUs != DrainRecord.NEVER) {
                call.pendingVersions.add(newVersion);
                long delayUs = maxWatchDelayUs == 0 ? 0 : random.nextLong(maxWatchDelayUs + 1);
                queue.scheduleAfter(delayUs, () -> writePendingVersion(call));
            }
        }
    }

    void mode(Mode next) {
        if (mode.isOutage() && !next.isOutage()) {
            record.add(new Outage(downSinceUs, queue.nowUs()));
        }
        if (!mode.isOutage() && next.isOutage()) {
            downSinceUs = queue.nowUs();
        }
        if (mode != Mode.DOWN && next == Mode.DOWN) {
            resetCalls();
        }
        if (mode != Mode.SILENT_OUTAGE && next == Mode.SILENT_OUTAGE) {
            silenceCalls();
        }
        mode = next;
        timeline.accept("discovery is " + next);
        if (!next.isOutage()) {
            List<Runnable> responses = List.copyOf(heldResponses);
            heldResponses.clear();
            responses.forEach(Runnable::run);
        }
    }

    /** Sets how messages are delivered from now on. */
    void setDelivery(
            long maxWatchDelayUs,
            boolean splitWrites,
            int failedDeliveryOneIn,
            boolean staleLists) {
        this.maxWatchDelayUs = maxWatchDelayUs;
        this.splitWrites = splitWrites;
        this.failedDeliveryOneIn = failedDeliveryOneIn;
        this.staleLists = staleLists;
        timeline.accept(
                "discovery tells up to "
                        + maxWatchDelayUs / 1_000
                        + " ms late"
                        + (splitWrites ? ", in pieces" : "")
                        + (failedDeliveryOneIn > 0
                                ? ", one in " + failedDeliveryOneIn + " spoilt"
                                : "")
                        + (staleLists ? ", old lists" : ""));
    }

    void resetCalls() {
        timeline.accept("all calls are reset");
        List.copyOf(calls.values()).forEach(c -> c.close("reset"));
    }

    void silenceCalls() {
        timeline.accept("all calls fall silent");
        for (OpenCall call : calls.values()) {
            call.silentFromUs = Math.min(call.silentFromUs, queue.nowUs());
        }
    }

    /**
     * Changes the address of discovery; calls that are open at the old address are closed 1.5 s
     * later.
     */
    void changeAddress() {
        port++;
        List<OpenCall> old = List.copyOf(calls.values());
        queue.scheduleAfter(OLD_ADDRESS_CLOSE_DELAY_US, () -> old.forEach(c -> c.close("moved")));
    }

    /**
     * At the end of the run, adds the calls that are still open and an outage that still lasts to
     * the record.
     */
    void completeRecord() {
        List.copyOf(calls.values()).forEach(OpenCall::recordEnd);
        if (mode.isOutage()) {
            record.add(new Outage(downSinceUs, queue.nowUs()));
        }
    }

    // ---- calls

    void onCall(ProxyModel caller, long number, InetSocketAddress address, String path) {
        OpenCall call = new OpenCall(number, caller);
        calls.put(number, call);
        if (address.getPort() != port || mode == Mode.DOWN && random.nextBoolean()) {
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
            case DEAF -> call.silentFromUs = queue.nowUs();
            case SILENT_OUTAGE -> heldResponses.add(() -> respond(call, path));
        }
    }

    /** Rejects two calls in three, drawn at random, and responds to the others. */
    private void handleWhileOverloaded(OpenCall call, String path) {
        long queuedUs = random.nextBoolean() ? 20_000 : random.nextLong(MAX_QUEUE_DELAY_US);
        if (random.nextInt(3) == 0) {
            scheduleAfter(queuedUs, () -> respond(call, path));
        } else {
            scheduleAfter(queuedUs, () -> reject(call));
        }
    }

    /** Schedules an event after the network delay of a call plus the given delay. */
    private void scheduleAfter(long delayUs, Runnable event) {
        queue.scheduleAfter(NETWORK_DELAY_US + delayUs, event);
    }

    /** Handles a call that the proxy has closed. */
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
        long version = history.version();
        int from = path.indexOf("from=");
        if (from < 0) {
            writeMessage(call, listMessage(version), version);
            queue.scheduleAfter(
                    2 * NETWORK_DELAY_US + MAX_PIECE_DELAY_US, () -> call.close("answered"));
            return;
        }
        long knownVersion = Long.parseLong(path.substring(from + "from=".length()));
        // The protocol requires a response with all changes after the requested version. A
        // stale response holds the whole list of an earlier version, so the index of the
        // response is below the requested version.
        boolean stale = staleLists && knownVersion > 1 && knownVersion <= version;
        long written =
                stale
                        ? knownVersion
                                - 1
                                - random.nextLong(Math.min(knownVersion, MAX_VERSIONS_BEHIND))
                        : version;
        boolean whole =
                stale || knownVersion == 0 || knownVersion > version || random.nextInt(3) == 0;
        writeMessage(
                call,
                whole ? listMessage(written) : history.changesMessage(knownVersion, version),
                written);
        queue.scheduleAfter(EMPTY_LINE_INTERVAL_US, () -> writeEmptyLine(call));
    }

    private void writeEmptyLine(OpenCall call) {
        if (call.canWrite()) {
            call.write("\n");
            queue.scheduleAfter(EMPTY_LINE_INTERVAL_US, () -> writeEmptyLine(call));
        }
    }

    /** Writes the changes of the oldest pending version of the list on a watch. */
    private void writePendingVersion(OpenCall call) {
        Long pending = call.pendingVersions.poll();
        if (pending != null && call.canWrite()) {
            writeMessage(call, history.changesMessage(pending - 1, pending), pending);
        }
    }

    private void writeMessage(OpenCall call, String text, long upToVersion) {
        switch (drawDelivery()) {
            case CLOSED -> call.close("ended instead of telling");
            case TRUNCATED -> {
                record.add(new WrittenVersion(queue.nowUs(), call.caller.name(), upToVersion));
                timeline.accept("version " + upToVersion + " is written and cut off");
                call.write(text.substring(0, 2 + random.nextInt(text.length() - 2)) + "\n");
            }
            default -> {
                record.add(new WrittenVersion(queue.nowUs(), call.caller.name(), upToVersion));
                timeline.accept("version " + upToVersion + " is written");
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

    /**
     * Returns a message with a whole version of the list. Draining servers are left out of a random
     * part of these messages; while lists are stale, they are left out of all.
     */
    private String listMessage(long listVersion) {
        return history.listMessage(listVersion, staleLists || random.nextBoolean());
    }
}
