package passhatch.lab.drain;

import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.Balancer;
import passhatch.Balancer.DedupGroup;
import passhatch.Balancer.Effect;
import passhatch.Balancer.Limits;
import passhatch.Balancer.ListFreshness;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Prices;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Tenant;
import passhatch.Logic;
import passhatch.SettingsBuilder;
import passhatch.lab.drain.DrainRecord.AddressChange;
import passhatch.lab.drain.DrainRecord.Send;
import passhatch.lab.sim.EventQueue;
import passhatch.proxy.discovery.EndpointList;
import passhatch.proxy.discovery.ListWatch;

/**
 * A proxy in simulated time: the real watch on discovery, lease and decision module, joined as the
 * network code joins them. It can be paused, and held up before each write.
 */
final class ProxyModel implements ListWatch.Listener, Balancer.Actions {

    /** STANDING: a proxy may be held up so long between reading its clock and writing. */
    private static final long MAX_STALL_US = 150_000;

    /** A timer fires no sooner than this after it is set. */
    private static final long MIN_TIMER_DELAY_US = 1_000;

    /** A signal is handled within this time. */
    private static final long MAX_SIGNAL_DELAY_US = 50_000;

    private static final long MAX_CONNECTION_DELAY_US = 1_500_000;
    private static final int DELAYED_CONNECTION_ONE_IN = 10;
    private static final long MAX_SERVICE_TIME_US = 50_000;

    private final EventQueue<Runnable> queue;
    private final UniformRandomProvider random;
    private final DrainRecord record;
    private final DiscoveryModel discovery;
    private final Servers servers;
    private final Consumer<String> timeline;
    private final long deadlineUs;
    private final Map<String, Integer> attempts = new HashMap<>();

    /** What waits while the process is paused: what the sockets bring, then timers. */
    private final ArrayDeque<Runnable> unreadFromDiscovery = new ArrayDeque<>();

    private final ArrayDeque<Runnable> unreadFromOthers = new ArrayDeque<>();

    private final ArrayDeque<Runnable> pendingTimers = new ArrayDeque<>();
    private long pausedSinceUs = DrainRecord.NEVER;

    /** How long what is read now may have stood unread. */
    private long unreadUs;

    private boolean stalling;
    private ListWatch watch;
    private Balancer balancer;
    private long lastTimerNumber;
    private int requestCount;
    private int sentCount;

    ProxyModel(
            EventQueue<Runnable> queue,
            UniformRandomProvider random,
            Scenario scenario,
            DrainRecord record,
            DiscoveryModel discovery,
            Servers servers,
            Consumer<String> timeline) {
        this.queue = queue;
        this.random = random;
        this.record = record;
        this.discovery = discovery;
        this.servers = servers;
        this.timeline = timeline;
        this.deadlineUs = scenario.deadlineUs();
    }

    /** Starts by a list that it is given. */
    void start(Scenario scenario, EndpointList known) {
        balancer = new Logic(settings(scenario), random.nextLong(), this);
        watch =
                new ListWatch(
                        new ListWatch.WatchConfig(
                                discovery.address(),
                                known,
                                true,
                                List.of("a"),
                                List.of("m"),
                                scenario.graceUs()),
                        random.nextLong(),
                        new SimulatedTransport(),
                        this,
                        timeline);
        balancer.serversChanged(queue.nowUs(), ListKind.REMEMBERED, known.servers());
    }

    private static Balancer.Settings settings(Scenario scenario) {
        return new SettingsBuilder()
                .requestClass(
                        new RequestClass(
                                "look",
                                scenario.deadlineUs(),
                                scenario.deadlineUs(),
                                1,
                                0,
                                Effect.SAFE,
                                DedupGroup.ALL,
                                0))
                .tenant(new Tenant("t", 0))
                .limits(new Limits(3, true, false, 0, 1))
                .rules(
                        new Rules(
                                scenario.graceUs(),
                                scenario.askEveryUs(),
                                0.25,
                                8_000_000,
                                2,
                                1_000_000))
                .prices(new Prices(0, 0))
                .watch(true)
                .build();
    }

    String name() {
        return "proxy";
    }

    int requestCount() {
        return requestCount;
    }

    int sentCount() {
        return sentCount;
    }

    // ---- what happens to it

    void pause() {
        pausedSinceUs = queue.nowUs();
        timeline.accept("the process is paused");
    }

    void resume() {
        unreadUs = queue.nowUs() - pausedSinceUs;
        pausedSinceUs = DrainRecord.NEVER;
        timeline.accept("the process goes on after " + unreadUs / 1_000 + " ms");
        balancer.listUnread(queue.nowUs() - unreadUs);
        // Which connections are read first is for the system to say.
        boolean discoveryFirst = random.nextBoolean();
        runPending(discoveryFirst ? unreadFromDiscovery : unreadFromOthers);
        runPending(discoveryFirst ? unreadFromOthers : unreadFromDiscovery);
        balancer.listRead(queue.nowUs());
        runPending(pendingTimers);
        unreadUs = 0;
    }

    private static void runPending(ArrayDeque<Runnable> waiting) {
        for (int left = waiting.size(); left > 0; left--) {
            waiting.poll().run();
        }
    }

    boolean isPaused() {
        return pausedSinceUs != DrainRecord.NEVER;
    }

    void setStalling(boolean on) {
        stalling = on;
    }

    /** Its configuration names another address, and a signal says so. */
    void signalAddressChange() {
        record.add(new AddressChange(queue.nowUs(), name()));
        timeline.accept("signal: discovery has moved");
        InetSocketAddress to = discovery.address();
        queue.scheduleAfter(
                random.nextLong(MAX_SIGNAL_DELAY_US),
                () -> processTimer(() -> watch.changeAddress(queue.nowUs(), to)));
    }

    /** A client's request comes. */
    void receiveRequest() {
        String id = "r" + requestCount++;
        processRead(
                () -> balancer.request(queue.nowUs(), new Request(id, 0, 0, deadlineUs, 0, false)));
    }

    private void processRead(Runnable what) {
        if (isPaused()) {
            unreadFromOthers.add(what);
        } else {
            what.run();
        }
    }

    private void processDiscoveryRead(Runnable what) {
        if (isPaused()) {
            unreadFromDiscovery.add(what);
        } else {
            what.run();
        }
    }

    private void processTimer(Runnable what) {
        if (isPaused()) {
            pendingTimers.add(what);
        } else {
            what.run();
        }
    }

    // ---- what discovery's connections bring

    void onConnected(long call) {
        processDiscoveryRead(() -> watch.onConnected(call));
    }

    void onResponseHead(long call, int status) {
        processDiscoveryRead(() -> watch.onResponseHead(queue.nowUs(), call, status));
    }

    void onBody(long call, String text) {
        processDiscoveryRead(
                () ->
                        watch.onBody(
                                queue.nowUs(),
                                queue.nowUs() - unreadUs,
                                call,
                                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    void onClosed(long call, String why) {
        processDiscoveryRead(
                () -> {
                    watch.onFailed(call, why);
                    watch.onClosed(queue.nowUs(), call);
                });
    }

    // ---- the watch

    /** Connections to discovery, and the watch's own timer. */
    private final class SimulatedTransport implements ListWatch.Transport {
        @Override
        public void startCall(long call, InetSocketAddress address, String path) {
            queue.scheduleAfter(0, () -> discovery.onCall(ProxyModel.this, call, address, path));
        }

        @Override
        public void closeCall(long call) {
            queue.scheduleAfter(0, () -> discovery.onCallClosed(call));
        }

        @Override
        public void wakeAt(long atUs) {
            scheduleTimer(atUs, () -> watch.onTimer(queue.nowUs()));
        }
    }

    private void scheduleTimer(long atUs, Runnable what) {
        queue.scheduleAt(
                Math.max(atUs, queue.nowUs() + MIN_TIMER_DELAY_US), () -> processTimer(what));
    }

    @Override
    public void onList(EndpointList list, ListFreshness currency) {
        timeline.accept("the proxy has version " + list.index());
        balancer.serversChanged(
                queue.nowUs(),
                list.whole() ? ListKind.WHOLE : ListKind.CHANGES,
                list.servers(),
                currency);
    }

    @Override
    public void onUnchanged(ListFreshness currency) {
        balancer.listCurrent(queue.nowUs(), currency);
    }

    @Override
    public void onPending(long sinceUs) {
        balancer.listPending(sinceUs);
    }

    @Override
    public void onWatchLost() {
        balancer.discoveryFailed(queue.nowUs());
    }

    @Override
    public void onRejected() {
        balancer.discoveryTurnedAway();
    }

    @Override
    public void onReached() {
        balancer.discoveryReached();
    }

    @Override
    public void onAddressChanged() {
        balancer.discoveryMoved(queue.nowUs(), queue.nowUs() - unreadUs);
    }

    // ---- the decision module

    @Override
    public void send(String request, String server, long timeoutUs) {
        int attempt = attempts.merge(request, 1, Integer::sum) - 1;
        if (random.nextInt(DELAYED_CONNECTION_ONE_IN) == 0) {
            queue.scheduleAfter(
                    random.nextLong(MAX_CONNECTION_DELAY_US),
                    () -> processTimer(() -> write(request, attempt, server)));
        } else {
            write(request, attempt, server);
        }
    }

    /** Its connection is up: asked once more, it is written, some time later where held up. */
    private void write(String request, int attempt, String server) {
        if (!balancer.mayReach(queue.nowUs(), server)) {
            // The module must not be told from within one of its actions.
            queue.scheduleAfter(
                    0,
                    () ->
                            processTimer(
                                    () ->
                                            completeAttempt(
                                                    request, attempt, server, Outcome.NOT_SENT)));
            return;
        }
        sentCount++;
        long heldUpUs = stalling ? random.nextLong(MAX_STALL_US) : 0;
        queue.scheduleAfter(
                heldUpUs,
                () -> {
                    record.add(new Send(queue.nowUs(), name(), server));
                    Outcome outcome = servers.handleRequest(server, queue.nowUs());
                    queue.scheduleAfter(
                            1 + random.nextLong(MAX_SERVICE_TIME_US),
                            () ->
                                    processRead(
                                            () ->
                                                    completeAttempt(
                                                            request, attempt, server, outcome)));
                });
    }

    private void completeAttempt(String request, int attempt, String server, Outcome outcome) {
        balancer.outcome(
                queue.nowUs(),
                request,
                attempt,
                server,
                outcome,
                MAX_SERVICE_TIME_US,
                outcome == Outcome.OK,
                null);
    }

    /** The module asks for a time only where it is earlier than what it asked for before. */
    @Override
    public void wakeAt(long atUs) {
        long number = ++lastTimerNumber;
        scheduleTimer(
                atUs,
                () -> {
                    if (number == lastTimerNumber) {
                        balancer.timer(queue.nowUs());
                    }
                });
    }

    @Override
    public void watchServers() {
        watch.startWatch(queue.nowUs());
    }

    @Override
    public void log(String text) {
        timeline.accept(text);
    }

    @Override
    public void refuse(String request, long retryAfterUs) {}

    @Override
    public void fail(String request) {}

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void probe(String server) {}
}
