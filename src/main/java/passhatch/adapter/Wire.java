package passhatch.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.Server;
import passhatch.Balancer.Settings;
import passhatch.InvalidSettingsException;
import passhatch.Logic;
import passhatch.SettingsReader;

/**
 * Runs the balancer instances of one process. It passes each event to the instance that the event
 * is for, and writes the actions of the instances to the output.
 */
final class Wire {

    /** Bit of {@link Event#marks} that says that the client marked the request as a retry. */
    private static final int MARK_RETRY = 2;

    /** Bit of {@link Event#marks} that says that the request's expected work is given. */
    private static final int MARK_HINT = 1;

    /** Index of each value in the array of a load report; -1 for a value that is not reported. */
    private record ReportLayout(int inFlight, int queue, int utilisation) {}

    private record Instance(Balancer balancer, ReportLayout reportLayout, boolean asksDiscovery) {}

    private final BatchReader reader;
    private final OutputStream out;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(1 << 14);
    private final JsonGenerator json;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Long, List<Server>> catalogs = new HashMap<>();
    private final Actions actions = new ActionWriter();
    private int currentInstance;
    private boolean groupOpen;

    Wire(InputStream in, OutputStream out) throws IOException {
        this.reader = new BatchReader(in);
        this.out = out;
        this.json = new JsonFactory().createGenerator(buffer);
        json.setRootValueSeparator(null);
    }

    /** Answers each batch with one line of actions until the input ends. */
    void serve() throws IOException, WireException {
        while (reader.readNext()) {
            json.writeStartObject();
            json.writeArrayFieldStart("groups");
            for (int i = 0; i < reader.eventCount(); i++) {
                Event event = reader.event(i);
                if (groupOpen && event.who != currentInstance) {
                    closeGroup();
                }
                currentInstance = event.who;
                handle(event);
            }
            if (groupOpen) {
                closeGroup();
            }
            json.writeEndArray();
            json.writeEndObject();
            json.flush();
            buffer.write('\n');
            buffer.writeTo(out);
            out.flush();
            buffer.reset();
        }
    }

    private void handle(Event event) throws WireException {
        long nowUs = reader.nowUs();
        switch (event.msg) {
            case "catalog" -> {
                catalogs.put(
                        event.require(event.rosterId, "rosterId"),
                        event.require(event.nodes, "nodesList"));
                return;
            }
            case "powerOn" -> {
                startInstance(event);
                return;
            }
            case "teardown" -> {
                findInstance(event);
                instances.remove(event.who);
                return;
            }
            default -> {}
        }
        Instance instance = findInstance(event);
        Balancer balancer = instance.balancer();
        switch (event.msg) {
            case "inbound" -> {
                long marks = event.marks == Event.ABSENT ? 0 : event.marks;
                boolean hasHint = (marks & MARK_HINT) != 0 && event.predictedUs != Event.ABSENT;
                balancer.request(
                        nowUs,
                        new Request(
                                event.require(event.opId, "opId"),
                                (int) event.require(event.profile, "profile"),
                                event.billing == Event.ABSENT ? 0 : (int) event.billing,
                                event.require(event.budgetUs, "budgetUs"),
                                hasHint ? event.predictedUs : 0,
                                (marks & MARK_RETRY) != 0));
            }
            case "reply" ->
                    balancer.outcome(
                            nowUs,
                            event.require(event.opId, "opId"),
                            (int) event.require(event.leg, "leg"),
                            event.backend,
                            toOutcome(event),
                            event.require(event.elapsedUs, "elapsedUs"),
                            event.last,
                            toReport(instance.reportLayout(), event.stats));
            case "healthResult" ->
                    balancer.probeResult(
                            nowUs,
                            event.require(event.backend, "backend"),
                            toOutcome(event),
                            event.require(event.elapsedUs, "elapsedUs"),
                            toReport(instance.reportLayout(), event.stats));
            case "backendsChanged" -> handleListChange(instance, nowUs, event);
            case "elapsed" -> balancer.timer(nowUs);
            case "left" -> balancer.clientGone(nowUs, event.require(event.opId, "opId"));
            case "established" ->
                    balancer.streamStarted(
                            nowUs,
                            event.require(event.opId, "opId"),
                            (int) event.require(event.leg, "leg"),
                            event.backend,
                            event.require(event.elapsedUs, "elapsedUs"));
            case "datagram" -> {}
            default ->
                    throw new WireException(
                            "line "
                                    + event.batchLine
                                    + ": message '"
                                    + event.msg
                                    + "' is not known");
        }
    }

    private Instance findInstance(Event event) throws WireException {
        Instance instance = instances.get(event.who);
        if (instance == null) {
            throw new WireException(
                    "line "
                            + event.batchLine
                            + ": "
                            + event.msg
                            + ": instance "
                            + event.who
                            + " was not started");
        }
        return instance;
    }

    private void startInstance(Event event) throws WireException {
        Map<String, Object> params = event.require(event.params, "params");
        long seed = event.require(event.nonce64, "nonce64");
        try {
            Settings settings = SettingsReader.read(params);
            Balancer balancer = new Logic(settings, seed, actions);
            instances.put(
                    event.who, new Instance(balancer, readReportLayout(params), settings.watch()));
        } catch (InvalidSettingsException | IllegalArgumentException invalid) {
            throw new WireException(
                    "line " + event.batchLine + ": powerOn: " + invalid.getMessage());
        }
    }

    private static ReportLayout readReportLayout(Map<String, Object> params) {
        List<?> names =
                params.get("loadInfo") instanceof Map<?, ?> info
                                && info.get("fields") instanceof List<?> list
                        ? list
                        : List.of();
        return new ReportLayout(
                names.indexOf("inflight"), names.indexOf("queue"), names.indexOf("util"));
    }

    private static LoadReport toReport(ReportLayout fields, double[] stats) {
        if (stats == null) {
            return null;
        }
        return new LoadReport(
                reportedValue(stats, fields.inFlight()),
                reportedValue(stats, fields.queue()),
                reportedValue(stats, fields.utilisation()));
    }

    private static double reportedValue(double[] stats, int index) {
        return index < 0 || index >= stats.length ? -1 : stats[index];
    }

    private void handleListChange(Instance instance, long nowUs, Event event) throws WireException {
        Balancer balancer = instance.balancer();
        String mode = event.require(event.mode, "mode");
        if (mode.equals("refused")) {
            balancer.discoveryFailed(nowUs);
            return;
        }
        ListKind kind =
                switch (mode) {
                    case "changes" -> ListKind.CHANGES;
                    case "all" -> ListKind.WHOLE;
                    case "remembered" -> ListKind.RECENT;
                    default ->
                            throw new WireException(
                                    "line "
                                            + event.batchLine
                                            + ": backendsChanged: mode '"
                                            + mode
                                            + "' is not known");
                };
        List<Server> list = catalogs.get(event.require(event.rosterId, "rosterId"));
        if (list == null) {
            throw new WireException(
                    "line "
                            + event.batchLine
                            + ": backendsChanged: catalog "
                            + event.rosterId
                            + " was not given");
        }
        balancer.serversChanged(nowUs, kind, list);
        if (kind == ListKind.RECENT && !instance.asksDiscovery()) {
            // Discovery pushes changes and sends nothing while there are none, so the list is
            // confirmed here.
            balancer.serversChanged(nowUs, ListKind.CHANGES, List.of());
        }
    }

    private static Outcome toOutcome(Event event) throws WireException {
        return switch (event.require(event.ending, "ending")) {
            case "OK" -> Outcome.OK;
            case "INTERNAL" -> Outcome.ERROR;
            case "RESOURCE_EXHAUSTED" -> Outcome.FULL;
            case "DEADLINE_EXCEEDED" -> Outcome.TIMEOUT;
            case "UNAVAILABLE" -> Outcome.CONNECT_FAILED;
            case "ABORTED" -> Outcome.RESET;
            case "CANCELLED" -> Outcome.CANCELLED;
            case "TOO_LATE" -> Outcome.NOT_SENT;
            default ->
                    throw new WireException(
                            "line "
                                    + event.batchLine
                                    + ": "
                                    + event.msg
                                    + ": ending '"
                                    + event.ending
                                    + "' is not known");
        };
    }

    private void beginAction(String message) throws IOException {
        if (!groupOpen) {
            groupOpen = true;
            json.writeStartObject();
            json.writeNumberField("who", currentInstance);
            json.writeArrayFieldStart("cmds");
        }
        json.writeStartObject();
        json.writeStringField("msg", message);
    }

    private void closeGroup() throws IOException {
        groupOpen = false;
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Writes the actions of the instance that handles the current event. */
    private final class ActionWriter implements Actions {

        @Override
        public void send(String request, String server, long timeoutUs) {
            write(
                    "relay",
                    () -> {
                        json.writeStringField("opId", request);
                        json.writeStringField("backend", server);
                        json.writeNumberField("limitUs", timeoutUs);
                    });
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            write(
                    "turnAway",
                    () -> {
                        json.writeStringField("opId", request);
                        if (retryAfterUs > 0) {
                            json.writeNumberField("coolDownUs", retryAfterUs);
                        }
                    });
        }

        @Override
        public void fail(String request) {
            write("abort", () -> json.writeStringField("opId", request));
        }

        @Override
        public void cancel(String request, int attempt) {
            write(
                    "recall",
                    () -> {
                        json.writeStringField("opId", request);
                        json.writeNumberField("leg", attempt);
                    });
        }

        @Override
        public void closeIdle(String server) {
            write("disconnect", () -> json.writeStringField("backend", server));
        }

        @Override
        public void probe(String server) {
            write("test", () -> json.writeStringField("backend", server));
        }

        @Override
        public void wakeAt(long atUs) {
            write(
                    "wakeAt",
                    () -> {
                        json.writeNumberField("dueAtUs", atUs);
                        json.writeNumberField("mark", 0);
                    });
        }

        @Override
        public void watchServers() {
            write("keepInformed", () -> json.writeBooleanField("enable", true));
        }

        @Override
        public void log(String text) {
            write("trace", () -> json.writeStringField("what", text));
        }

        private void write(String message, FieldWriter fields) {
            try {
                beginAction(message);
                fields.write();
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Writes the fields of an action. */
    private interface FieldWriter {
        void write() throws IOException;
    }
}
