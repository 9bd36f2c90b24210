package passhatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Actions;
import passhatch.Balancer.DedupGroup;
import passhatch.Balancer.Effect;
import passhatch.Balancer.Limits;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Prices;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;
import passhatch.Balancer.Settings;
import passhatch.Balancer.Tenant;

/** A proxy around one instance of the module whose time the test advances. */
final class Proxy implements Actions {

    static final long MS = 1000;
    static final int SAFE = 0;
    static final int UNSAFE = 1;
    static final int KEYED = 2;
    static final int KEYED_IN_ZONE = 3;

    /** Settings that a test can vary. */
    static final class Setup {
        boolean probes;
        boolean watch;
        int maxAttempts = 4;
        long retryAfterUs;
        double coldFrom = 0.25;
        double tipMultiple = 2;
        long aimUs = 400 * MS;

        /** Further classes, after the usual four. */
        List<RequestClass> extraClasses = List.of();

        /** Quota of tenant 1 in requests per second; tenant 0 is unlimited. */
        double quotaPerSecond;

        int copies = 3;
        double crossZonePrice;
        int copy;
        int callsPerConnection = 100;
        long closeWithinUs;
        long keepaliveUs;

        Settings settings() {
            List<RequestClass> classes =
                    new ArrayList<>(
                            List.of(
                                    requestClass(Effect.SAFE, DedupGroup.ALL),
                                            requestClass(Effect.UNSAFE, DedupGroup.ALL),
                                    requestClass(Effect.KEYED, DedupGroup.ALL),
                                            requestClass(Effect.KEYED, DedupGroup.ZONE)));
            classes.addAll(extraClasses);
            SettingsBuilder builder = new SettingsBuilder();
            classes.forEach(builder::requestClass);
            return builder.tenant(new Tenant("t", 0))
                    .tenant(new Tenant("u", quotaPerSecond))
                    .overQuotaWorth(0.2)
                    .limits(
                            new Limits(
                                    maxAttempts,
                                    true,
                                    probes,
                                    retryAfterUs,
                                    callsPerConnection,
                                    keepaliveUs))
                    .rules(
                            new Rules(
                                    500 * MS,
                                    watch ? 8_000 * MS : 0,
                                    coldFrom,
                                    8_000 * MS,
                                    tipMultiple,
                                    1_000 * MS,
                                    closeWithinUs))
                    .prices(new Prices(0.001, crossZonePrice))
                    .copies(copies, copy)
                    .watch(watch)
                    .build();
        }

        private RequestClass requestClass(Effect effect, DedupGroup group) {
            return new RequestClass(
                    effect + "-" + group, aimUs, 1_000 * MS, 1, 0, effect, group, 600 * MS);
        }
    }

    /** Returns the default settings, for a test to vary. */
    static Setup setup() {
        return new Setup();
    }

    /** Returns the addresses of {@code count} servers. */
    static String[] names(int count) {
        String[] names = new String[count];
        for (int i = 0; i < count; i++) {
            names[i] = "10.0.0." + i + ":80";
        }
        return names;
    }

    final Logic balancer;
    final List<String> actions = new ArrayList<>();
    private final List<String> pendingProbes = new ArrayList<>();
    final Map<String, Integer> attempts = new HashMap<>();
    final Map<String, List<String>> sentTo = new HashMap<>();
    long nowUs = 1_000_000 * MS;
    private long wakeAtUs = Long.MAX_VALUE;
    private int requests;

    Proxy(Setup setup, long seed) {
        balancer = new Logic(setup.settings(), seed, this);
    }

    Proxy(Setup setup) {
        this(setup, 7);
    }

    /** Starts with warm servers, two per zone. */
    Proxy startWith(String... ids) {
        List<Server> list = new ArrayList<>();
        for (String id : ids) {
            list.add(new Server(id, 0, list.size() / 2, list.size() / 2, ServerStatus.UP));
        }
        return startWith(list);
    }

    /** Starts with a list that discovery has confirmed. */
    Proxy startWith(List<Server> list) {
        balancer.serversChanged(nowUs, ListKind.REMEMBERED, list);
        balancer.serversChanged(nowUs, ListKind.CHANGES, List.of());
        return this;
    }

    void change(String id, long startedAtUs, ServerStatus status) {
        balancer.serversChanged(
                nowUs, ListKind.CHANGES, List.of(new Server(id, startedAtUs, 0, 0, status)));
    }

    String request(int requestClass) {
        return request(requestClass, 0);
    }

    String request(int requestClass, int tenant) {
        String id = "r" + requests++;
        balancer.request(nowUs, new Request(id, requestClass, tenant, 1_000 * MS, 0, false));
        return id;
    }

    /** Returns the server of the latest attempt of a request, or null. */
    String lastServerOf(String request) {
        List<String> servers = sentTo.get(request);
        return servers == null ? null : servers.get(servers.size() - 1);
    }

    void endAttempt(String request, Outcome outcome) {
        endAttempt(request, attempts.get(request) - 1, outcome);
    }

    void endAttempt(String request, int attempt, Outcome outcome) {
        balancer.outcome(
                nowUs,
                request,
                attempt,
                sentTo.get(request).get(attempt),
                outcome,
                50 * MS,
                outcome == Outcome.OK,
                null);
    }

    /** Sends a request, answers probes as idle, and returns the server that served it. */
    String serve() {
        String request = request(SAFE);
        reportAllIdle();
        String server = lastServerOf(request);
        advance(50);
        endAttempt(request, Outcome.OK);
        return server;
    }

    /** Answers every pending probe as idle. */
    void reportAllIdle() {
        for (int i = 0; i < pendingProbes.size(); i++) {
            report(pendingProbes.get(i), 0);
        }
        pendingProbes.clear();
    }

    void report(String server, int inFlight) {
        balancer.probeResult(
                nowUs,
                server,
                Outcome.OK,
                1 * MS,
                new LoadReport(inFlight, Math.max(0, inFlight - 1), 0));
    }

    /** Advances the time and fires the timers that become due. */
    void advance(long ms) {
        long until = nowUs + ms * MS;
        while (wakeAtUs <= until) {
            nowUs = Math.max(nowUs, wakeAtUs);
            wakeAtUs = Long.MAX_VALUE;
            balancer.timer(nowUs);
        }
        nowUs = until;
    }

    int countActions(String prefix) {
        return (int) actions.stream().filter(line -> line.startsWith(prefix)).count();
    }

    boolean hasAction(String line) {
        return actions.contains(line);
    }

    @Override
    public void send(String request, String server, long timeoutUs) {
        attempts.merge(request, 1, Integer::sum);
        sentTo.computeIfAbsent(request, r -> new ArrayList<>()).add(server);
        actions.add("send " + request + " " + server + " " + timeoutUs);
    }

    @Override
    public void refuse(String request, long retryAfterUs) {
        actions.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        actions.add("fail " + request);
    }

    @Override
    public void cancel(String request, int attempt) {
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void closeIdle(String server) {
        actions.add("close " + server);
    }

    @Override
    public void probe(String server) {
        actions.add("probe " + server);
        pendingProbes.add(server);
    }

    @Override
    public void wakeAt(long atUs) {
        wakeAtUs = Math.min(wakeAtUs, Math.max(atUs, nowUs + 1));
    }

    @Override
    public void watchServers() {
        actions.add("watch");
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
