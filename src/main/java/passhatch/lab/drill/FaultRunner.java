package passhatch.lab.drill;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import passhatch.lab.load.ProxyPool;
import passhatch.lab.standin.BackendServer;
import passhatch.lab.standin.DiscoveryServer;
import passhatch.lab.standin.UdpRelay.NetworkConditions;

/**
 * Applies the steps of a fault plan to the testbed of a drill and records each step as an event.
 */
final class FaultRunner {

    private final Scenario scenario;
    private final Testbed testbed;
    private final ProxyPool proxyPool;
    private final EventFile events;
    private final ScheduledExecutorService timer;
    private NetworkConditions networkConditions = NetworkConditions.UNIMPAIRED;

    /**
     * Creates a runner.
     *
     * @param timer runs the steps; has only one thread, so that steps run one after another
     */
    FaultRunner(
            Scenario scenario,
            Testbed testbed,
            ProxyPool proxyPool,
            EventFile events,
            ScheduledExecutorService timer) {
        this.scenario = scenario;
        this.testbed = testbed;
        this.proxyPool = proxyPool;
        this.events = events;
        this.timer = timer;
    }

    /**
     * Schedules all steps.
     *
     * @param startNs start of the load, as a value of {@link System#nanoTime}
     */
    void schedule(List<FaultPlan.Step> steps, long startNs) {
        for (FaultPlan.Step step : steps) {
            timer.schedule(
                    () -> runStep(step),
                    startNs + step.at().toNanos() - System.nanoTime(),
                    TimeUnit.NANOSECONDS);
        }
    }

    void runStep(FaultPlan.Step step) {
        try {
            switch (step.type().targetType()) {
                case PROXY -> applyToProxy(step.type(), testbed.proxies.get(step.targetIndex()));
                case BACKEND -> applyToBackend(step, testbed.backends.get(step.targetIndex()));
                case DISCOVERY -> applyToDiscovery(step);
                case PEERS -> applyToPeers(step);
            }
            events.add("fault", "do", step.type().label(), "target", step.targetName());
        } catch (IOException | RuntimeException failed) {
            events.add(
                    "fault-failed",
                    "do",
                    step.type().label(),
                    "target",
                    step.targetName(),
                    "why",
                    String.valueOf(failed.getMessage()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- proxy processes

    private void applyToProxy(FaultType type, ProxyProcess proxy)
            throws IOException, InterruptedException {
        int index = proxy.index();
        switch (type) {
            case KILL -> {
                proxyPool.setFaulty(index, true);
                proxy.setKnownServers(testbed.discovery.snapshot());
                sendSignal(proxy, "KILL");
                scheduleFailureDetection(index);
            }
            case TERM -> {
                sendSignal(proxy, "TERM");
                scheduleFailureDetection(index);
            }
            case STOP -> {
                proxyPool.setFaulty(index, true);
                sendSignal(proxy, "STOP");
                scheduleFailureDetection(index);
            }
            case CONT -> {
                sendSignal(proxy, "CONT");
                proxyPool.setFaulty(index, false);
                proxyPool.setAdmitted(index, true);
            }
            default -> startProxy(proxy);
        }
    }

    private static void sendSignal(ProxyProcess proxy, String name)
            throws IOException, InterruptedException {
        if (!proxy.process().signal(name)) {
            throw new IOException(proxy.name() + " does not run");
        }
    }

    /**
     * Makes clients stop sending to a proxy after the time that they need to detect its failure.
     */
    private void scheduleFailureDetection(int index) {
        timer.schedule(
                () -> proxyPool.setAdmitted(index, false),
                scenario.load().detect().toNanos(),
                TimeUnit.NANOSECONDS);
    }

    /**
     * Starts a proxy without waiting until it is ready, so that later steps are not delayed.
     * Clients send to the proxy once it is ready.
     */
    private void startProxy(ProxyProcess proxy) throws IOException {
        if (proxy.process().isAlive()) {
            // The previous process is still shutting down, so the start is retried until it has
            // ended.
            timer.schedule(
                    () -> {
                        try {
                            startProxy(proxy);
                        } catch (IOException failed) {
                            events.add(
                                    "fault-failed",
                                    "do",
                                    "start",
                                    "target",
                                    proxy.name(),
                                    "why",
                                    failed.getMessage());
                        }
                    },
                    20,
                    TimeUnit.MILLISECONDS);
            return;
        }
        proxy.process().start();
        long startedNs = System.nanoTime();
        Thread waiter =
                new Thread(
                        () -> {
                            try {
                                if (proxy.awaitReady(
                                        scenario.proxies().readyTimeout().toMillis())) {
                                    events.add(
                                            "ready",
                                            "target",
                                            proxy.name(),
                                            "after_ms",
                                            TimeUnit.NANOSECONDS.toMillis(
                                                    System.nanoTime() - startedNs));
                                    proxyPool.setFaulty(proxy.index(), false);
                                    proxyPool.setAdmitted(proxy.index(), true);
                                } else {
                                    events.add(
                                            "not-ready",
                                            "target",
                                            proxy.name(),
                                            "log",
                                            proxy.process().logTail());
                                }
                            } catch (InterruptedException interrupted) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "await-" + proxy.name());
        waiter.setDaemon(true);
        waiter.start();
    }

    // ---- backends, discovery and the network between proxies

    private void applyToBackend(FaultPlan.Step step, BackendServer backend) throws IOException {
        double share = step.fault().share();
        switch (step.type()) {
            case SLOW -> backend.setHealth(BackendServer.Health.SLOW, step.fault().factor());
            case HANG -> backend.setHealth(BackendServer.Health.HUNG, 1);
            case FAIL -> backend.setHealth(BackendServer.Health.FAILING, share);
            case RESET -> backend.setHealth(BackendServer.Health.RESETTING, share);
            case WELL -> backend.setHealth(BackendServer.Health.HEALTHY, 0);
            case CRASH -> {
                backend.crash();
                publishStatus(backend, "DELETED", 0);
            }
            case DRAIN -> {
                backend.drain(0);
                publishStatus(backend, "DRAINING", 0);
            }
            default -> {
                backend.crash();
                backend.restart();
                publishStatus(backend, "SERVING", System.currentTimeMillis());
            }
        }
    }

    private void publishStatus(BackendServer backend, String status, long sinceMs) {
        testbed.discovery.update(
                List.of(
                        new DiscoveryServer.Endpoint(
                                backend.name(), backend.address(), status, sinceMs)));
    }

    private void applyToDiscovery(FaultPlan.Step step) throws IOException {
        switch (step.type()) {
            case DOWN -> testbed.discovery.takeDown();
            case UP -> testbed.discovery.bringUp();
            case BREAK -> testbed.discovery.closeWatches();
            case OVERLOAD -> testbed.discovery.setOverloaded(true);
            case RELIEVE -> testbed.discovery.setOverloaded(false);
            case ANSWER_LATE -> testbed.discovery.setResponseDelay(step.fault().by().toMillis());
            case ANSWER_AT_ONCE -> testbed.discovery.setResponseDelay(0);
            case STALL -> testbed.discovery.setStalled(true);
            case RESUME -> testbed.discovery.setStalled(false);
            case TELL_LATE -> testbed.discovery.setNotificationDelay(step.fault().by().toMillis());
            default -> testbed.discovery.setNotificationDelay(0);
        }
    }

    /**
     * Applies a network fault between proxies. Faults of different types accumulate, and {@link
     * FaultType#HEAL} ends all of them.
     */
    private void applyToPeers(FaultPlan.Step step) {
        double share = step.fault().share();
        long delayUs = TimeUnit.MICROSECONDS.convert(step.fault().by());
        NetworkConditions current = networkConditions;
        switch (step.type()) {
            case LOSE ->
                    networkConditions =
                            new NetworkConditions(
                                    share,
                                    current.duplicateRate(),
                                    current.truncateRate(),
                                    current.reorderRate(),
                                    current.delayUs(),
                                    current.jitterUs());
            case DOUBLE ->
                    networkConditions =
                            new NetworkConditions(
                                    current.lossRate(),
                                    share,
                                    current.truncateRate(),
                                    current.reorderRate(),
                                    current.delayUs(),
                                    current.jitterUs());
            case CUT ->
                    networkConditions =
                            new NetworkConditions(
                                    current.lossRate(),
                                    current.duplicateRate(),
                                    share,
                                    current.reorderRate(),
                                    current.delayUs(),
                                    current.jitterUs());
            case REORDER ->
                    networkConditions =
                            new NetworkConditions(
                                    current.lossRate(),
                                    current.duplicateRate(),
                                    current.truncateRate(),
                                    share,
                                    current.delayUs(),
                                    current.jitterUs());
            case DELAY ->
                    networkConditions =
                            new NetworkConditions(
                                    current.lossRate(),
                                    current.duplicateRate(),
                                    current.truncateRate(),
                                    current.reorderRate(),
                                    delayUs,
                                    delayUs / 2);
            case ONE_WAY, PARTITION -> testbed.relay.setConnectivity(connectivityOf(step));
            default -> {
                networkConditions = NetworkConditions.UNIMPAIRED;
                testbed.relay.setConnectivity((a, b) -> true);
            }
        }
        testbed.relay.setConditions(networkConditions);
    }

    private BiPredicate<Integer, Integer> connectivityOf(FaultPlan.Step step) {
        int count = scenario.proxies().count();
        int[] groupOf = new int[count];
        for (int g = 0; g < step.fault().groups().size(); g++) {
            int group = g + 1;
            Arrays.stream(
                            FaultPlan.targetIndicesByName(
                                    step.fault().groups().get(g), "proxies", count))
                    .forEach(n -> groupOf[n] = group);
        }
        return step.type() == FaultType.ONE_WAY
                ? (from, to) -> groupOf[from] != 1
                : (from, to) -> groupOf[from] == groupOf[to];
    }
}
