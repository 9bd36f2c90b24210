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
 * Does the steps of a fault plan to what a drill has running; each is written down with its time.
 */
final class FaultRunner {

    private final Scenario scenario;
    private final Field field;
    private final ProxyPool front;
    private final EventFile events;
    private final ScheduledExecutorService timer;
    private NetworkConditions weather = NetworkConditions.UNIMPAIRED;

    /** The timer has one thread: steps are done one after another, in their order. */
    FaultRunner(
            Scenario scenario,
            Field field,
            ProxyPool front,
            EventFile events,
            ScheduledExecutorService timer) {
        this.scenario = scenario;
        this.field = field;
        this.front = front;
        this.events = events;
        this.timer = timer;
    }

    /** Has all steps done, each at its time after the load's begin. */
    void schedule(List<FaultPlan.Step> steps, long beginNs) {
        for (FaultPlan.Step step : steps) {
            timer.schedule(
                    () -> run(step),
                    beginNs + step.at().toNanos() - System.nanoTime(),
                    TimeUnit.NANOSECONDS);
        }
    }

    void run(FaultPlan.Step step) {
        try {
            switch (step.kind().on()) {
                case PROXY -> proxy(step.kind(), field.proxies.get(step.target()));
                case BACKEND -> backend(step, field.backends.get(step.target()));
                case DISCOVERY -> discovery(step);
                case PEERS -> peers(step);
            }
            events.add("fault", "do", step.kind().word(), "target", step.targetName());
        } catch (IOException | RuntimeException failed) {
            events.add(
                    "fault-failed",
                    "do",
                    step.kind().word(),
                    "target",
                    step.targetName(),
                    "why",
                    String.valueOf(failed.getMessage()));
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- processes of the program

    private void proxy(FaultKind kind, ProxyChild proxy) throws IOException, InterruptedException {
        int number = proxy.number();
        switch (kind) {
            case KILL -> {
                front.setFaulty(number, true);
                proxy.remember(field.discovery.snapshot());
                signal(proxy, "KILL");
                noticed(number);
            }
            case TERM -> {
                signal(proxy, "TERM");
                noticed(number);
            }
            case STOP -> {
                front.setFaulty(number, true);
                signal(proxy, "STOP");
                noticed(number);
            }
            case CONT -> {
                signal(proxy, "CONT");
                front.setFaulty(number, false);
                front.setAdmitted(number, true);
            }
            default -> start(proxy);
        }
    }

    private static void signal(ProxyChild proxy, String name)
            throws IOException, InterruptedException {
        if (!proxy.child().signal(name)) {
            throw new IOException(proxy.name() + " does not run");
        }
    }

    /** The front stops sending to it some time later. */
    private void noticed(int number) {
        timer.schedule(
                () -> front.setAdmitted(number, false),
                scenario.load().detect().toNanos(),
                TimeUnit.NANOSECONDS);
    }

    /** Starts it beside the steps that follow, and has it admitted once it is ready. */
    private void start(ProxyChild proxy) throws IOException {
        if (proxy.child().alive()) {
            // It has been told to end and has not yet: it is waited for.
            timer.schedule(
                    () -> {
                        try {
                            start(proxy);
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
        proxy.child().start();
        long startedNs = System.nanoTime();
        Thread waits =
                new Thread(
                        () -> {
                            try {
                                if (proxy.awaitReady(scenario.proxies().readyWithin().toMillis())) {
                                    events.add(
                                            "ready",
                                            "target",
                                            proxy.name(),
                                            "after_ms",
                                            TimeUnit.NANOSECONDS.toMillis(
                                                    System.nanoTime() - startedNs));
                                    front.setFaulty(proxy.number(), false);
                                    front.setAdmitted(proxy.number(), true);
                                } else {
                                    events.add(
                                            "not-ready",
                                            "target",
                                            proxy.name(),
                                            "log",
                                            proxy.child().logEnd());
                                }
                            } catch (InterruptedException stop) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "await-" + proxy.name());
        waits.setDaemon(true);
        waits.start();
    }

    // ---- what surrounds them

    private void backend(FaultPlan.Step step, BackendServer backend) throws IOException {
        double share = step.of().share();
        switch (step.kind()) {
            case SLOW -> backend.setHealth(BackendServer.Health.SLOW, step.of().factor());
            case HANG -> backend.setHealth(BackendServer.Health.HUNG, 1);
            case FAIL -> backend.setHealth(BackendServer.Health.FAILING, share);
            case RESET -> backend.setHealth(BackendServer.Health.RESETTING, share);
            case WELL -> backend.setHealth(BackendServer.Health.HEALTHY, 0);
            case CRASH -> {
                backend.crash();
                list(backend, "DELETED", 0);
            }
            case DRAIN -> {
                backend.drain(0);
                list(backend, "DRAINING", 0);
            }
            default -> {
                backend.crash();
                backend.restart();
                list(backend, "SERVING", System.currentTimeMillis());
            }
        }
    }

    private void list(BackendServer backend, String status, long sinceMs) {
        field.discovery.update(
                List.of(
                        new DiscoveryServer.Endpoint(
                                backend.name(), backend.address(), status, sinceMs)));
    }

    private void discovery(FaultPlan.Step step) throws IOException {
        switch (step.kind()) {
            case DOWN -> field.discovery.down();
            case UP -> field.discovery.up();
            case BREAK -> field.discovery.closeWatches();
            case OVERLOAD -> field.discovery.setOverloaded(true);
            case RELIEVE -> field.discovery.setOverloaded(false);
            case ANSWER_LATE -> field.discovery.setResponseDelay(step.of().by().toMillis());
            case ANSWER_AT_ONCE -> field.discovery.setResponseDelay(0);
            case STALL -> field.discovery.setStalled(true);
            case RESUME -> field.discovery.setStalled(false);
            case TELL_LATE -> field.discovery.setNotificationDelay(step.of().by().toMillis());
            default -> field.discovery.setNotificationDelay(0);
        }
    }

    /** Kinds of bad weather add up; a heal ends all of them. */
    private void peers(FaultPlan.Step step) {
        double share = step.of().share();
        long us = TimeUnit.MICROSECONDS.convert(step.of().by());
        NetworkConditions w = weather;
        switch (step.kind()) {
            case LOSE ->
                    weather =
                            new NetworkConditions(
                                    share,
                                    w.duplicateRate(),
                                    w.truncateRate(),
                                    w.reorderRate(),
                                    w.delayUs(),
                                    w.jitterUs());
            case DOUBLE ->
                    weather =
                            new NetworkConditions(
                                    w.lossRate(),
                                    share,
                                    w.truncateRate(),
                                    w.reorderRate(),
                                    w.delayUs(),
                                    w.jitterUs());
            case CUT ->
                    weather =
                            new NetworkConditions(
                                    w.lossRate(),
                                    w.duplicateRate(),
                                    share,
                                    w.reorderRate(),
                                    w.delayUs(),
                                    w.jitterUs());
            case REORDER ->
                    weather =
                            new NetworkConditions(
                                    w.lossRate(),
                                    w.duplicateRate(),
                                    w.truncateRate(),
                                    share,
                                    w.delayUs(),
                                    w.jitterUs());
            case DELAY ->
                    weather =
                            new NetworkConditions(
                                    w.lossRate(),
                                    w.duplicateRate(),
                                    w.truncateRate(),
                                    w.reorderRate(),
                                    us,
                                    us / 2);
            case ONE_WAY, PARTITION -> field.relay.setConnectivity(connected(step));
            default -> {
                weather = NetworkConditions.UNIMPAIRED;
                field.relay.setConnectivity((a, b) -> true);
            }
        }
        field.relay.setConditions(weather);
    }

    private BiPredicate<Integer, Integer> connected(FaultPlan.Step step) {
        int count = scenario.proxies().count();
        int[] groupOf = new int[count];
        for (int g = 0; g < step.of().groups().size(); g++) {
            int group = g + 1;
            Arrays.stream(FaultPlan.numbers(step.of().groups().get(g), "proxies", count))
                    .forEach(n -> groupOf[n] = group);
        }
        return step.kind() == FaultKind.ONE_WAY
                ? (from, to) -> groupOf[from] != 1
                : (from, to) -> groupOf[from] == groupOf[to];
    }
}
