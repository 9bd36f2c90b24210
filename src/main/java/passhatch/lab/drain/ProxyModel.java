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
 * A proxy in simulated time: the real watch on discovery, lease and decision module, connected as
 * the network code connects them. The process can be paused, and stalled before each write.
 */
final class ProxyModel implements ListWatch.Listener, Balancer.Actions {

    /** Maximum time for which a proxy may be stalled between reading its clock and writing. */
    private static final long MAX_STALL_US = 150_000;

    /** A timer fires no sooner than this after it was set. */
    private static final long MIN_TIMER_DELAY_US = 1_000;

    /** Maximum time until a signal is handled. */
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

    /**
     * The events that wait while the process is paused are in three queues: reads from the
     * connections to discovery, reads from other connections, and timers. After the pause, timers
     * run last.
     */
    private final ArrayDeque<Runnable> unreadFromDiscovery = new ArrayDeque<>();

    private final ArrayDeque<Runnable> unreadFromOthers = new ArrayDeque<>();

    private final ArrayDeque<Runnable> pendingTimers = new ArrayDeque<>();
    private long pausedSinceUs = DrainRecord.NEVER;

    /** Maximum time for which bytes that are read now may have waited unread. */
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

    /** Starts the proxy with a list of servers that it already knows. */
    void start(Scenario scenario, EndpointList initialList) {
        balancer = new Logic(settings(scenario), random.nextLong(), this);
        watch =
                new ListWatch(
                        new ListWatch.WatchConfig(
                                discovery.address(),
                                initialList,
                                !scenario.pushed(),
                                List.of("a"),
                                List.of("m"),
                                scenario.graceUs()),
                        random.nextLong(),
                        new SimulatedTransport(),
                        this,
                        timeline);
        balancer.serversChanged(queue.nowUs(), ListKind.REMEMBERED, initialList.servers());
        if (scenario.pushed()) {
            watch.startWatch(queue.nowUs());
        }
    }

    boolean isStarted() {
        return watch != null;
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
                .watch(!scenario.pushed())
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

    // ---- events of the process

    void pause() {
        pausedSinceUs = queue.nowUs();
        timeline.accept("the process is paused");
    }

    void resume() {
        unreadUs = queue.nowUs() - pausedSinceUs;
        pausedSinceUs = DrainRecord.NEVER;
        timeline.accept("the process goes on after " + unreadUs / 1_000 + " ms");
        balancer.listUnread(queue.nowUs() - unreadUs);
        // The operating system decides which connections are read first.
        boolean discoveryFirst = random.nextBoolean();
        runPending(discoveryFirst ? unreadFromDiscovery : unreadFromOthers);
        runPending(discoveryFirst ? unreadFromOthers : unreadFromDiscovery);
        balancer.listRead(queue.nowUs());
        runPending(pendingTimers);
        unreadUs = 0;
    }

    private static void runPending(ArrayDeque<Runnable> pending) {
        for (int remaining = pending.size(); remaining > 0; remaining--) {
            pending.poll().run();
        }
    }

    boolean isPaused() {
        return pausedSinceUs != DrainRecord.NEVER;
    }

    /** Sets whether the process is stalled before each write. */
    void setStalling(boolean enabled) {
        stalling = enabled;
    }

    /** Signals the process that its configuration names another address of discovery. */
    void signalAddressChange() {
        record.add(new AddressChange(queue.nowUs(), name()));
        timeline.accept("signal: discovery has moved");
        InetSocketAddress newAddress = discovery.address();
        queue.scheduleAfter(
                random.nextLong(MAX_SIGNAL_DELAY_US),
                () -> runTimerEvent(() -> watch.changeAddress(queue.nowUs(), newAddress)));
    }

    /** Receives a request of a client. */
    void receiveRequest() {
        String id = "r" + requestCount++;
        runReadEvent(
                () -> balancer.request(queue.nowUs(), new Request(id, 0, 0, deadlineUs, 0, false)));
    }

    /**
     * Runs an event of a connection that is not to discovery. If the process is paused, the event
     * runs after the pause.
     */
    private void runReadEvent(Runnable event) {
        if (isPaused()) {
            unreadFromOthers.add(event);
        } else {
            event.run();
        }
    }

    /**
     * Runs an event of a connection to discovery. If the process is paused, the event runs after
     * the pause.
     */
    private void runDiscoveryReadEvent(Runnable event) {
        if (isPaused()) {
            unreadFromDiscovery.add(event);
        } else {
            event.run();
        }
    }

    /** Runs an event of a timer. If the process is paused, the event runs after the pause. */
    private void runTimerEvent(Runnable event) {
        if (isPaused()) {
            pendingTimers.add(event);
        } else {
            event.run();
        }
    }

    // ---- events of the connections to discovery

    void onConnected(long call) {
        runDiscoveryReadEvent(() -> watch.onConnected(call));
    }

    void onResponseHead(long call, int status) {
        runDiscoveryReadEvent(() -> watch.onResponseHead(queue.nowUs(), call, status));
    }

    void onBody(long call, String text) {
        runDiscoveryReadEvent(
                () ->
                        watch.onBody(
                                queue.nowUs(),
                                queue.nowUs() - unreadUs,
                                call,
                                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    void onClosed(long call, String reason) {
        runDiscoveryReadEvent(
                () -> {
                    watch.onFailed(call, reason);
                    watch.onClosed(queue.nowUs(), call);
                });
    }

    // ---- the watch

    /** The connections to discovery and the timer of the watch. */
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

    private void scheduleTimer(long atUs, Runnable event) {
        queue.scheduleAt(
                Math.max(atUs, queue.nowUs() + MIN_TIMER_DELAY_US), () -> runTimerEvent(event));
    }

    @Override
    public void onList(EndpointList list, ListFreshness freshness) {
        timeline.accept("the proxy has version " + list.index());
        balancer.serversChanged(
                queue.nowUs(),
                list.whole() ? ListKind.WHOLE : ListKind.CHANGES,
                list.servers(),
                freshness);
    }

    @Override
    public void onUnchanged(ListFreshness freshness) {
        balancer.listCurrent(queue.nowUs(), freshness);
    }

    @Override
    public void onMessagePending(long sinceUs) {
        balancer.listPending(sinceUs);
    }

    @Override
    public void onWatchLost() {
        balancer.discoveryFailed(queue.nowUs());
    }

    @Override
    public void onCallRejected() {
        balancer.discoveryTurnedAway();
    }

    @Override
    public void onDiscoveryReached() {
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
                    () -> runTimerEvent(() -> write(request, attempt, server)));
        } else {
            write(request, attempt, server);
        }
    }

    /**
     * Writes a request to its connection, which has just been established, if the balancer still
     * allows it. A stalled process writes the request some time after the balancer has allowed it.
     */
    private void write(String request, int attempt, String server) {
        if (!balancer.mayReach(queue.nowUs(), server)) {
            // The balancer must not be called from within one of its actions.
            queue.scheduleAfter(
                    0,
                    () ->
                            runTimerEvent(
                                    () ->
                                            completeAttempt(
                                                    request, attempt, server, Outcome.NOT_SENT)));
            return;
        }
        sentCount++;
        long stalledUs = stalling ? random.nextLong(MAX_STALL_US) : 0;
        queue.scheduleAfter(
                stalledUs,
                () -> {
                    record.add(new Send(queue.nowUs(), name(), server));
                    Outcome outcome = servers.handleRequest(server, queue.nowUs());
                    queue.scheduleAfter(
                            1 + random.nextLong(MAX_SERVICE_TIME_US),
                            () ->
                                    runReadEvent(
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

    /**
     * Schedules the balancer's timer in place of the timer requested before: the balancer requests
     * another time only if that time is earlier.
     */
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
