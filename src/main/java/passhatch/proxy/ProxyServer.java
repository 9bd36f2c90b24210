package passhatch.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Settings;
import passhatch.Logic;
import passhatch.proxy.backend.BackendPool;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.DescriptorLimits;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.LoopGuard;
import passhatch.proxy.base.NettyLog;
import passhatch.proxy.base.PollCounter;
import passhatch.proxy.base.ReloadSignal;
import passhatch.proxy.base.StallDetector;
import passhatch.proxy.client.HttpFrontend;
import passhatch.proxy.client.RequestParser;
import passhatch.proxy.control.Control;
import passhatch.proxy.flow.BodyAdmission;
import passhatch.proxy.flow.BufferBudget;

/** A proxy process, from start to shutdown. */
public final class ProxyServer {

    private static final long MAINTENANCE_INTERVAL_MS = 250;

    /**
     * Delay before a connection to a backend is reused, if a backend recently sent unsolicited
     * data: some backends send a second response to one request, some milliseconds after the first.
     */
    private static final long CONNECTION_REUSE_DELAY_US = 20_000;

    /**
     * If an older process still serves, a new process reports itself ready only after this time.
     * Until then the new process accepts only a part of the new connections. A new process is slow
     * at first, and the whole traffic at once would build a queue.
     */
    private static final long WARM_UP_MS = 2_000;

    /** How often a process that shuts down checks whether all requests are completed. */
    private static final long COMPLETION_CHECK_INTERVAL_MS = 20;

    /**
     * The configured memory divided by this is the limit for buffered bodies; the JVM needs most of
     * the memory.
     */
    private static final long BUFFER_MEMORY_DIVISOR = 36;

    /** The configured memory divided by this is the limit for heads received in part. */
    private static final long HEAD_MEMORY_DIVISOR = 72;

    /**
     * The limit on the heap is at most the configured memory divided by this, as {@code
     * deploy/serve.sh} sets it.
     */
    private static final long HEAP_MEMORY_DIVISOR = 3;

    /**
     * Request bodies are admitted while this fraction of the heap, as a divisor, holds all that is
     * buffered.
     */
    private static final long ADMISSION_HEAP_DIVISOR = 3;

    private static final String CLAIMED_IDS_FILE = "passhatch.ids";

    /** Exit status of a process whose event loop has died. */
    private static final int LOOP_DIED_EXIT_STATUS = 70;

    /** Creates the decision module. */
    interface BalancerFactory {
        Balancer create(Settings settings, long seed, Actions actions);
    }

    private final PollCounter pollCounter = new PollCounter(NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final EventLog log;
    private final long longestDeadlineMs;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final int maxDescriptors;
    private final DescriptorLimits descriptorLimits = new DescriptorLimits(Control.MAX_CONNECTIONS);
    private ProxyLoop proxyLoop;
    private HttpFrontend frontend;
    private BackendPool backendPool;
    private BufferBudget bufferBudget;
    private Control controlServer;

    /**
     * Tracks the other processes of this proxy; null if no control address is set or the platform
     * provides no folder for these processes.
     */
    private ProcessHandover handover;

    /**
     * Whether the warm-up is over, so that this process may report itself ready. In a process that
     * starts while another process of this proxy runs, this becomes true at the end of the warm-up.
     * In any other process it is true from the start.
     */
    private boolean warmedUp;

    private InetSocketAddress address;

    /**
     * True once the proxy has failed to listen. There is then nothing to shut down in an orderly
     * way.
     */
    private volatile boolean listenFailed;

    /** Whether the event loop has been told to end. */
    private volatile boolean terminating;

    private ProxyServer(ProxyConfig config, EventLog log) {
        this.log = log;
        this.maxDescriptors = config.maxDescriptors();
        this.group =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("proxy"), pollCounter);
        this.loop = group.next();
        this.longestDeadlineMs =
                TimeUnit.MICROSECONDS.toMillis(
                        config.settings().classes().stream()
                                .mapToLong(RequestClass::deadlineUs)
                                .max()
                                .orElseThrow());
    }

    /**
     * Runs a proxy until the process receives SIGTERM. If the proxy cannot start, returns at once
     * with the exit status of the process.
     */
    public static int serve(Map<String, String> env, PrintStream err) throws InterruptedException {
        ProxyServer server;
        try {
            ProxyConfig config = ProxyConfig.read(env);
            EventLog log = EventLog.nonBlocking(err);
            NettyLog.redirectTo(log);
            server = create(config, log, Logic::new);
            new LoopGuard(
                            log,
                            () -> server.terminating,
                            () -> Runtime.getRuntime().halt(LOOP_DIED_EXIT_STATUS))
                    .watch(server.loop);
            // The signal handlers are set before the proxy listens: a signal may arrive while the
            // first connection is accepted.
            if (!ReloadSignal.handle(() -> server.reload(env))) {
                server.log.write(
                        "SIGHUP is ignored since the start: the configuration cannot be reloaded");
            }
            Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownAndExit));
            server.listen(config);
        } catch (ProxyConfig.InvalidConfigException invalid) {
            err.println("passhatch: " + invalid.getMessage());
            return 2;
        }
        server.terminated.await();
        server.log.flush();
        return 0;
    }

    /**
     * Runs as the shutdown hook. The JVM exits with the signal's status as soon as its hooks have
     * returned, so this hook waits until all requests have a response and then ends the process
     * itself.
     */
    private void shutDownAndExit() {
        if (listenFailed) {
            return;
        }
        shutDown();
        try {
            terminated.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.flush();
        Runtime.getRuntime().halt(0);
    }

    /** Starts a proxy and returns once it listens. */
    static ProxyServer start(ProxyConfig config, EventLog log, BalancerFactory balancerFactory)
            throws ProxyConfig.InvalidConfigException, InterruptedException {
        ProxyServer server = create(config, log, balancerFactory);
        server.listen(config);
        return server;
    }

    /**
     * Creates a proxy that already calls discovery and can be shut down, but does not listen yet.
     */
    static ProxyServer create(ProxyConfig config, EventLog log, BalancerFactory balancerFactory)
            throws InterruptedException {
        ProxyServer server = new ProxyServer(config, log);
        server.loop.submit(() -> server.build(config, balancerFactory)).sync();
        return server;
    }

    void listen(ProxyConfig config)
            throws ProxyConfig.InvalidConfigException, InterruptedException {
        try {
            address = frontend.listen(config.listenAddress());
            log.write("listening on " + address);
            if (config.controlAddress() != null) {
                controlServer.listen(config.controlAddress());
            }
        } catch (IOException e) {
            listenFailed = true;
            terminate();
            throw new ProxyConfig.InvalidConfigException("PROXY_LISTEN: " + e.getMessage());
        }
    }

    private void build(ProxyConfig config, BalancerFactory balancerFactory) {
        Clock clock = new Clock();
        if (config.controlAddress() != null && config.folder() != null) {
            handover = new ProcessHandover(config.folder(), log);
        }
        bufferBudget = new BufferBudget(config.memoryBytes() / BUFFER_MEMORY_DIVISOR);
        backendPool =
                new BackendPool(
                        loop,
                        clock,
                        log,
                        bufferBudget,
                        config.connectTimeoutUs(),
                        config.settings().limits().keepaliveUs(),
                        CONNECTION_REUSE_DELAY_US,
                        descriptorLimits);
        StallDetector stallDetector = new StallDetector(clock.nowUs());
        scheduleTick(clock, stallDetector);
        proxyLoop =
                new ProxyLoop(
                        loop,
                        clock,
                        log,
                        config,
                        backendPool,
                        stallDetector,
                        openClaimedIds(config),
                        balancerFactory);
        frontend =
                new HttpFrontend(
                        loop,
                        clock,
                        log,
                        new RequestParser(
                                config.settings().classes(),
                                config.classNames(),
                                config.tenantNames()),
                        proxyLoop,
                        bufferBudget,
                        new BodyAdmission(bufferBudget, maxAdmittedBytes(config), loop),
                        config.memoryBytes() / HEAD_MEMORY_DIVISOR,
                        descriptorLimits,
                        stallDetector,
                        pollCounter);
        controlServer = new Control(loop, log, this::checkReady, proxyLoop::metricsText);
        updateDescriptorLimit();
        warmedUp = !otherProcessRuns();
        if (!warmedUp) {
            loop.schedule(
                    () -> {
                        warmedUp = true;
                    },
                    WARM_UP_MS,
                    TimeUnit.MILLISECONDS);
        }
        loop.scheduleAtFixedRate(
                this::runMaintenance,
                MAINTENANCE_INTERVAL_MS,
                MAINTENANCE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the table of claimed ids, which the processes of this proxy share if they can. */
    private ClaimedIds openClaimedIds(ProxyConfig config) {
        if (handover == null) {
            return ClaimedIds.ofThisProcess();
        }
        try {
            return ClaimedIds.shared(config.folder().resolve(CLAIMED_IDS_FILE));
        } catch (IOException failure) {
            log.write("the ids of requests are not shared with other processes: " + failure);
            return ClaimedIds.ofThisProcess();
        }
    }

    private static long maxAdmittedBytes(ProxyConfig config) {
        long heapBytes =
                Math.min(
                        Runtime.getRuntime().maxMemory(),
                        config.memoryBytes() / HEAP_MEMORY_DIVISOR);
        return heapBytes / ADMISSION_HEAP_DIVISOR;
    }

    /**
     * Schedules the next tick of the stall detector. Each tick schedules the one after it, so that
     * a stall is counted only once.
     */
    private void scheduleTick(Clock clock, StallDetector stallDetector) {
        loop.schedule(
                () -> {
                    stallDetector.tick(clock.nowUs());
                    scheduleTick(clock, stallDetector);
                },
                StallDetector.TICK_INTERVAL_US,
                TimeUnit.MICROSECONDS);
    }

    private void runMaintenance() {
        backendPool.closeStaleConnections();
        updateDescriptorLimit();
        checkReady();
        frontend.setHandover(newerProcessRuns());
    }

    /**
     * Returns whether this process is ready to serve. If it is, also records this in the shared
     * folder. An older process may shut down as soon as this method returns true for the first
     * time.
     */
    private boolean checkReady() {
        boolean ready = frontend.ready() && warmedUp;
        if (ready && handover != null) {
            handover.recordReady();
        }
        return ready;
    }

    private boolean otherProcessRuns() {
        return handover != null && handover.otherProcessRuns();
    }

    private boolean newerProcessRuns() {
        return handover != null && handover.newerProcessRuns();
    }

    /**
     * Sets the descriptor limit of this process. The configured limit applies to all processes of
     * this proxy together, and during a handover two of them run.
     */
    private void updateDescriptorLimit() {
        descriptorLimits.setLimit(otherProcessRuns() ? maxDescriptors / 2 : maxDescriptors);
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Returns a text that lists the requests, buffered bytes and connections that this proxy still
     * holds; empty if there are none.
     */
    String unreleasedResources() throws InterruptedException {
        StringBuilder text = new StringBuilder();
        loop.submit(
                        () -> {
                            Map<String, Long> counts =
                                    new TreeMap<>(
                                            Map.of(
                                                    "requests",
                                                    (long) proxyLoop.exchangeCount(),
                                                    "requests unanswered",
                                                    (long) proxyLoop.unansweredCount(),
                                                    "bytes",
                                                    bufferBudget.bufferedBytes(),
                                                    "connections from clients",
                                                    (long) descriptorLimits.clientConnections(),
                                                    "connections to backends in use",
                                                    (long) descriptorLimits.backendConnections()
                                                            - backendPool.idleConnectionCount()));
                            counts.values().removeIf(count -> count == 0);
                            text.append(counts.isEmpty() ? "" : counts);
                        })
                .sync();
        return text.toString();
    }

    /** Returns the number of bytes that are buffered for all connections together. */
    long bufferedBytes() throws InterruptedException {
        AtomicLong bytes = new AtomicLong();
        loop.submit(() -> bytes.set(bufferBudget.bufferedBytes())).sync();
        return bytes.get();
    }

    /** Returns whether the event loop has begun to shut down, in an orderly way or not. */
    boolean isShuttingDown() {
        return loop.isShuttingDown();
    }

    /** Returns the address for operators' commands, or null if there is none. */
    InetSocketAddress controlAddress() {
        return controlServer.address();
    }

    /**
     * Shuts down in an orderly way: every accepted request gets its response. If a newer process is
     * ready, this one accepts the connections that wait at its listener and closes each client
     * connection with its response. Otherwise, even if a newer process exists but is not ready,
     * this process accepts connections for a little longer and serves open connections until
     * shortly before SIGKILL may come.
     */
    void shutDown() {
        loop.execute(
                () -> {
                    boolean newerProcessReady = handover != null && handover.newerProcessIsReady();
                    log.write(
                            "shutting down"
                                    + (newerProcessReady ? ", a newer process serves" : ""));
                    ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMs);
                    frontend.markUnready();
                    proxyLoop.limitResponseTime(
                            TimeUnit.MILLISECONDS.toMicros(schedule.respondByMs()));
                    if (newerProcessReady) {
                        frontend.stopListening();
                        frontend.closeAfterResponses();
                    } else {
                        loop.schedule(
                                frontend::stopListening,
                                schedule.stopListeningMs(),
                                TimeUnit.MILLISECONDS);
                    }
                    loop.schedule(
                            () -> {
                                frontend.closeAfterResponses();
                                terminateOnceCompleted();
                            },
                            schedule.closeClientsMs(),
                            TimeUnit.MILLISECONDS);
                });
    }

    /**
     * Terminates the proxy once all requests are completed; a response that takes long to send may
     * continue until SIGKILL.
     */
    private void terminateOnceCompleted() {
        frontend.closeIdleConnections();
        if (proxyLoop.unansweredCount() == 0
                && !frontend.receivingRequest()
                && !frontend.closing()) {
            terminate();
        } else {
            loop.schedule(
                    this::terminateOnceCompleted,
                    COMPLETION_CHECK_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Reads the configuration again; only the address of discovery may change. This method is
     * synchronized because each SIGHUP is handled on its own thread, and an address that was read
     * earlier must not replace one that was read later.
     */
    synchronized void reload(Map<String, String> env) {
        InetSocketAddress discoveryAddress;
        try {
            discoveryAddress = ProxyConfig.readDiscoveryAddress(env);
        } catch (ProxyConfig.InvalidConfigException invalid) {
            log.write("the configuration stays as it is: " + invalid.getMessage());
            return;
        }
        log.write("discovery is at " + discoveryAddress + " from now on");
        loop.execute(() -> proxyLoop.changeDiscoveryAddress(discoveryAddress));
    }

    /** Waits until the event loop has run all tasks submitted so far. */
    void awaitSubmittedTasks() throws InterruptedException {
        loop.submit(() -> {}).sync();
    }

    /** Waits until the proxy has shut down; returns false if the timeout expires before. */
    boolean awaitTermination(long timeoutMs) throws InterruptedException {
        return terminated.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Terminates the proxy at once, without waiting for requests. */
    void stopNow() {
        if (!loop.isShuttingDown()) {
            loop.execute(this::terminate);
        }
    }

    private void terminate() {
        terminating = true;
        log.write("ending with " + proxyLoop.unansweredCount() + " requests unanswered");
        proxyLoop.stop();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .addListener(done -> terminated.countDown());
    }
}
