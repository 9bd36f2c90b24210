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
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Settings;
import passhatch.Logic;
import passhatch.proxy.backend.BackendPool;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.DescriptorLimits;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.NettyLog;
import passhatch.proxy.base.ReloadSignal;
import passhatch.proxy.base.StallDetector;
import passhatch.proxy.client.ClientServer;
import passhatch.proxy.client.RequestParser;
import passhatch.proxy.control.Control;
import passhatch.proxy.flow.BufferBudget;

/** One real proxy, from its start to its end. */
public final class ProxyServer {

    private static final long MAINTENANCE_INTERVAL_MS = 250;

    /**
     * A second answer to one request comes some milliseconds after the first, where there is one.
     */
    private static final long CONNECTION_REST_US = 20_000;

    /**
     * Where an older process serves, a new one takes its part of the new connections for this long
     * before it says that it is ready: it is slow at first, and all of the traffic at once would
     * pile up.
     */
    private static final long WARM_UP_MS = 2_000;

    /** How often a process that is to end looks whether all is done. */
    private static final long COMPLETION_CHECK_INTERVAL_MS = 20;

    /** The part of the configured memory that bodies on their way may take: most is the JVM's. */
    private static final long BUFFER_MEMORY_DIVISOR = 36;

    /** The status of a process that ends as its loop has died. */
    private static final int LOOP_DIED_EXIT_STATUS = 70;

    /** Makes the decision module. */
    interface BalancerFactory {
        Balancer create(Settings settings, long seed, Actions actions);
    }

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final EventLog log;
    private final long longestDeadlineMs;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final int maxDescriptors;
    private final DescriptorLimits descriptorLimits = new DescriptorLimits(Control.MAX_CONNECTIONS);
    private ProxyLoop proxyLoop;
    private ClientServer frontend;
    private BackendPool backendPool;
    private BufferBudget bufferBudget;
    private Control controlServer;

    /** Null where the platform keeps no folder for this proxy's processes. */
    private ProcessHandover handover;

    /** Not where the traffic of an older process would come all at once. */
    private boolean warmedUp;

    private InetSocketAddress address;

    /** It could not listen, so there is nothing to end in an orderly way. */
    private volatile boolean listenFailed;

    private ProxyServer(ProxyConfig config, EventLog log) {
        this.log = log;
        this.maxDescriptors = config.maxDescriptors();
        this.group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("proxy"), NioIoHandler.newFactory());
        this.loop = group.next();
        this.longestDeadlineMs =
                TimeUnit.MICROSECONDS.toMillis(
                        config.settings().classes().stream()
                                .mapToLong(RequestClass::deadlineUs)
                                .max()
                                .orElseThrow());
    }

    /**
     * Runs a proxy until the process gets SIGTERM; returns only where it cannot start, with the
     * status.
     */
    public static int serve(Map<String, String> env, PrintStream err) throws InterruptedException {
        ProxyServer server;
        try {
            ProxyConfig config = ProxyConfig.read(env);
            EventLog log = new EventLog(err);
            NettyLog.redirectTo(log);
            server = create(config, log, Logic::new);
            server.exitWhenLoopDies();
            // A signal may come in the moment in which the first connection is accepted.
            if (!ReloadSignal.handle(() -> server.reload(env))) {
                server.log.line("SIGHUP is ignored since the start: no new configuration is taken");
            }
            Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownAndExit));
            server.listen(config);
        } catch (ProxyConfig.InvalidConfigException invalid) {
            err.println("passhatch: " + invalid.getMessage());
            return 2;
        }
        server.terminated.await();
        return 0;
    }

    /** A process whose loop has died would stay and serve nobody. */
    private void exitWhenLoopDies() {
        Thread.UncaughtExceptionHandler exit =
                (thread, error) -> {
                    log.bug("in thread " + thread.getName(), error);
                    Runtime.getRuntime().halt(LOOP_DIED_EXIT_STATUS);
                };
        loop.execute(() -> Thread.currentThread().setUncaughtExceptionHandler(exit));
    }

    /**
     * The JVM ends as soon as its hooks have returned, with the status of the signal: so this one
     * stays until all is answered, and then ends the process itself.
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
        Runtime.getRuntime().halt(0);
    }

    /** Starts a proxy and returns once it listens. */
    static ProxyServer start(ProxyConfig config, EventLog log, BalancerFactory balancerFactory)
            throws ProxyConfig.InvalidConfigException, InterruptedException {
        ProxyServer server = create(config, log, balancerFactory);
        server.listen(config);
        return server;
    }

    /** A proxy that asks discovery already, and can be told to end, but does not listen yet. */
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
            log.line("listening on " + address);
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
                        CONNECTION_REST_US,
                        descriptorLimits);
        StallDetector stallDetector = new StallDetector(clock.nowUs());
        scheduleTick(clock, stallDetector);
        proxyLoop =
                new ProxyLoop(
                        loop, clock, log, config, backendPool, stallDetector, balancerFactory);
        frontend =
                new ClientServer(
                        loop,
                        clock,
                        log,
                        new RequestParser(
                                config.settings().classes(),
                                config.classNames(),
                                config.tenantNames()),
                        proxyLoop,
                        bufferBudget,
                        descriptorLimits,
                        stallDetector);
        controlServer = new Control(loop, log, this::ready, proxyLoop::metricsText);
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

    /** Each beat is timed from the one before, so that a hold-up shows once. */
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
        backendPool.closeStale();
        updateDescriptorLimit();
        ready();
        frontend.share(newerProcessRuns());
    }

    /** Whether this process is ready to serve; an older one may leave from its first yes on. */
    private boolean ready() {
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
     * The limit holds for all processes of this proxy together, and at a change of version there
     * are two.
     */
    private void updateDescriptorLimit() {
        descriptorLimits.setLimit(otherProcessRuns() ? maxDescriptors / 2 : maxDescriptors);
    }

    InetSocketAddress address() {
        return address;
    }

    /** What is still held of requests and their connections; empty once nothing is out. */
    String unreleasedResources() throws InterruptedException {
        StringBuilder text = new StringBuilder();
        loop.submit(
                        () -> {
                            Map<String, Long> counts =
                                    new TreeMap<>(
                                            Map.of(
                                                    "requests",
                                                    (long) proxyLoop.exchangesInMemory(),
                                                    "requests unanswered",
                                                    (long) proxyLoop.unanswered(),
                                                    "bytes",
                                                    bufferBudget.bufferedBytes(),
                                                    "connections from clients",
                                                    (long) descriptorLimits.clients(),
                                                    "connections to backends in use",
                                                    (long) descriptorLimits.backends()
                                                            - backendPool.idle()));
                            counts.values().removeIf(count -> count == 0);
                            text.append(counts.isEmpty() ? "" : counts);
                        })
                .sync();
        return text.toString();
    }

    /** Whether it has begun to end, in order or not. */
    boolean isShuttingDown() {
        return loop.isShuttingDown();
    }

    /** Where operators ask; null where they cannot. */
    InetSocketAddress controlAddress() {
        return controlServer.address();
    }

    /**
     * Ends in an orderly way, and everything taken is answered. Where a newer process is ready,
     * this one takes what waits at its listener and sends each client away with its answer. Else,
     * and also where a newer one has come and is not ready, connections are accepted for a little
     * longer, and those open are served until shortly before SIGKILL may come.
     */
    void shutDown() {
        loop.execute(
                () -> {
                    boolean newerProcessReady = handover != null && handover.newerProcessReady();
                    log.line(
                            "shutting down"
                                    + (newerProcessReady ? ", a newer process serves" : ""));
                    ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMs);
                    frontend.unready();
                    proxyLoop.limitResponseTime(
                            TimeUnit.MILLISECONDS.toMicros(schedule.respondByMs()));
                    if (newerProcessReady) {
                        frontend.stopListening();
                        frontend.sendAway();
                    } else {
                        loop.schedule(
                                frontend::stopListening,
                                schedule.stopListeningMs(),
                                TimeUnit.MILLISECONDS);
                    }
                    loop.schedule(
                            () -> {
                                frontend.sendAway();
                                terminateOnceCompleted();
                            },
                            schedule.closeClientsMs(),
                            TimeUnit.MILLISECONDS);
                });
    }

    /**
     * Ends when nothing is out any more; an answer that is long on its way may go on until SIGKILL.
     */
    private void terminateOnceCompleted() {
        frontend.endIdle();
        if (proxyLoop.unanswered() == 0 && !frontend.receiving() && !frontend.ending()) {
            terminate();
        } else {
            loop.schedule(
                    this::terminateOnceCompleted,
                    COMPLETION_CHECK_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Reads the configuration again; of what stands there only the address of discovery may change.
     * One at a time: each SIGHUP comes on a thread of its own, and one that has read the file
     * before it changed must not have its say after one that read it later.
     */
    synchronized void reload(Map<String, String> env) {
        InetSocketAddress discoveryAddress;
        try {
            discoveryAddress = ProxyConfig.readDiscoveryAddress(env);
        } catch (ProxyConfig.InvalidConfigException invalid) {
            log.line("the configuration stays as it is: " + invalid.getMessage());
            return;
        }
        log.line("discovery is at " + discoveryAddress + " from now on");
        loop.execute(() -> proxyLoop.changeDiscoveryAddress(discoveryAddress));
    }

    /** Waits until its loop has done all that it was given so far. */
    void awaitSubmittedTasks() throws InterruptedException {
        loop.submit(() -> {}).sync();
    }

    /** Waits until it has shut down. */
    boolean awaitTermination(long timeoutMs) throws InterruptedException {
        return terminated.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Ends at once, whatever is out. */
    void stopNow() {
        if (!loop.isShuttingDown()) {
            loop.execute(this::terminate);
        }
    }

    private void terminate() {
        log.line("ending with " + proxyLoop.unanswered() + " requests unanswered");
        proxyLoop.stop();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .addListener(done -> terminated.countDown());
    }
}
