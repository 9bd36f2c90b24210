package passhatch.lab.drain;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.lab.Seeds;
import passhatch.lab.drain.DrainChecker.LateSend;
import passhatch.lab.sim.EventQueue;
import passhatch.proxy.discovery.EndpointList;

/**
 * One simulated run of the real watch, lease and decision module. Its seed determines the faults of
 * discovery and the servers that drain. {@link DrainChecker} then checks each request against the
 * record of the run.
 */
final class DrainSimulation {

    /**
     * Simulated time at the start of a run. It is not 0, because a time of 0 stands for long ago.
     */
    private static final long START_US = 1_000_000_000_000L;

    private static final long MAX_ACCEPT_US = 30_000_000;
    private static final long MAX_FAULT_US = 12_000_000;
    private static final long MAX_PAUSE_US = 12_000_000;

    /** Maximum time from the start of a run until the proxy starts, if lists are pushed. */
    private static final long MAX_START_DELAY_US = 8_000_000;

    private static final int FAULT_KINDS = 8;
    private static final int MAX_CONSECUTIVE_ADDRESS_CHANGES = 4;
    private static final long MAX_ADDRESS_CHANGE_GAP_US = 1_600_000;

    /**
     * The result of a run.
     *
     * @param lateSends requests that were sent after the drain grace
     * @param notifiedBeforeWritten number of changes that took a server out of use and of which the
     *     proxy was deemed notified before discovery wrote them to the proxy; includes changes that
     *     were never written
     * @param requests number of requests of clients
     * @param sent number of attempts that were sent to servers
     */
    record RunResult(
            long seed,
            List<LateSend> lateSends,
            int notifiedBeforeWritten,
            int requests,
            int sent) {}

    /** What a draining server does with new requests. */
    enum DrainBehavior {
        /** The server rejects new requests, as the protocol requires. */
        TURNS_AWAY,
        /** The server may go on accepting new requests for up to 30 s. */
        MAY_ACCEPT
    }

    /** How the proxy gets the list of servers. */
    enum ListMode {
        /** The proxy must ask discovery for changes. */
        ON_REQUEST,
        /** Changes are pushed to the proxy, which starts with a list that may be old. */
        PUSHED
    }

    private final long seed;
    private final DrainBehavior draining;
    private final Scenario scenario;
    private final EventQueue<Runnable> queue = new EventQueue<>(START_US);
    private final DrainRecord record;
    private final DiscoveryModel discovery;
    private final Servers servers = new Servers();
    private final ProxyModel proxy;
    private final UniformRandomProvider faultRandom;
    private final UniformRandomProvider changeRandom;
    private final UniformRandomProvider loadRandom;
    private final UniformRandomProvider startRandom;
    private final Consumer<String> timeline;

    private DrainSimulation(
            long seed, DrainBehavior draining, ListMode lists, Consumer<String> output) {
        Seeds seeds = new Seeds(seed);
        this.seed = seed;
        this.draining = draining;
        this.scenario = Scenario.draw(seeds, lists == ListMode.PUSHED);
        this.timeline =
                text ->
                        output.accept(
                                String.format(
                                        Locale.ROOT,
                                        "%7.3f %s",
                                        (queue.nowUs() - START_US) / 1e6,
                                        text));
        this.record =
                new DrainRecord(
                        new DrainRecord.Rules(
                                scenario.pushed(), scenario.graceUs(), scenario.askEveryUs()));
        this.discovery = new DiscoveryModel(queue, seeds.stream("discovery"), record, timeline);
        this.proxy =
                new ProxyModel(
                        queue,
                        seeds.stream("proxy"),
                        scenario,
                        record,
                        discovery,
                        servers,
                        timeline);
        this.faultRandom = seeds.stream("faults");
        this.changeRandom = seeds.stream("changes");
        this.loadRandom = seeds.stream("load");
        this.startRandom = seeds.stream("start");
    }

    /** Simulates one run with the given seed. */
    static RunResult simulate(long seed, DrainBehavior draining, ListMode lists) {
        return simulate(seed, draining, lists, line -> {});
    }

    /** Simulates one run with the given seed and writes a line for each event. */
    static RunResult simulate(
            long seed, DrainBehavior draining, ListMode lists, Consumer<String> timeline) {
        return new DrainSimulation(seed, draining, lists, timeline).run();
    }

    private RunResult run() {
        timeline.accept(scenario.toString());
        for (int i = 0; i < scenario.servers(); i++) {
            startServer("s" + i);
        }
        EndpointList initialList = parse(discovery.currentList());
        if (scenario.pushed()) {
            long startDelayUs =
                    startRandom.nextBoolean() ? 0 : startRandom.nextLong(MAX_START_DELAY_US);
            queue.scheduleAfter(startDelayUs, () -> startProxy(initialList));
        } else {
            proxy.start(scenario, initialList);
        }
        queue.scheduleAfter(scenario.quietUs(), this::makeNextChange);
        queue.scheduleAfter(scenario.quietUs(), this::injectNextFault);
        if (!scenario.pushed()) {
            queue.scheduleAfter(0, this::sendNextRequest);
        }
        long endUs = START_US + scenario.durationUs();
        for (Runnable event = queue.pollUntil(endUs);
                event != null;
                event = queue.pollUntil(endUs)) {
            event.run();
        }
        discovery.completeRecord();
        List<LateSend> late = DrainChecker.check(record);
        late.forEach(l -> timeline.accept("LATE: " + l));
        return new RunResult(
                seed,
                late,
                DrainChecker.countNotifiedBeforeWritten(record),
                proxy.requestCount(),
                proxy.sentCount());
    }

    private void startProxy(EndpointList initialList) {
        timeline.accept("the proxy starts with version " + initialList.index());
        proxy.start(scenario, initialList);
        sendNextRequest();
    }

    private static EndpointList parse(String text) {
        try {
            return EndpointList.parse(JSON.std.mapFrom(text), List.of("a"), List.of("m"));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    /** Draws a time in microseconds that is at least 1 and less than twice the mean. */
    private static long drawWithMean(UniformRandomProvider random, long meanUs) {
        return random.nextLong(1, 2 * meanUs);
    }

    // ---- load

    private void sendNextRequest() {
        proxy.receiveRequest();
        queue.scheduleAfter(
                drawWithMean(loadRandom, scenario.requestGapUs()), this::sendNextRequest);
    }

    // ---- servers

    private void startServer(String server) {
        servers.start(server);
        discovery.changeStatus(server, "SERVING");
    }

    private void makeNextChange() {
        List<String> up = new ArrayList<>();
        List<String> down = new ArrayList<>();
        for (int i = 0; i < scenario.servers(); i++) {
            (discovery.isUp("s" + i) ? up : down).add("s" + i);
        }
        if (up.size() > 1 && (down.isEmpty() || changeRandom.nextInt(3) > 0)) {
            takeOutOfUse(up.get(changeRandom.nextInt(up.size())));
        } else {
            startServer(down.get(changeRandom.nextInt(down.size())));
        }
        queue.scheduleAfter(
                drawWithMean(changeRandom, scenario.faultGapUs()), this::makeNextChange);
    }

    private void takeOutOfUse(String server) {
        long acceptsUs = changeRandom.nextBoolean() ? 0 : changeRandom.nextLong(MAX_ACCEPT_US);
        if (changeRandom.nextInt(4) == 0) {
            servers.stop(server);
            discovery.changeStatus(server, "DELETED");
        } else {
            boolean accepts = draining == DrainBehavior.MAY_ACCEPT;
            servers.drain(server, queue.nowUs() + (accepts ? acceptsUs : 0));
            discovery.changeStatus(server, "DRAINING");
        }
    }

    // ---- faults

    private void injectNextFault() {
        switch (faultRandom.nextInt(scenario.pushed() ? FAULT_KINDS + 1 : FAULT_KINDS)) {
            case 0 -> setTemporaryMode(DiscoveryModel.Mode.SLOW);
            case 1 -> setTemporaryMode(DiscoveryModel.Mode.CROWDED);
            case 2 -> setTemporaryMode(DiscoveryModel.Mode.DEAF);
            case 3 -> setTemporaryMode(DiscoveryModel.Mode.DOWN);
            case 4 -> discovery.silenceCalls();
            case 5 -> pauseProxy();
            case 6 -> changeAddress(1 + faultRandom.nextInt(MAX_CONSECUTIVE_ADDRESS_CHANGES));
            case FAULT_KINDS -> setTemporaryMode(DiscoveryModel.Mode.SILENT_OUTAGE);
            default -> discovery.resetCalls();
        }
        if (faultRandom.nextInt(3) == 0) {
            discovery.resetCalls();
        }
        proxy.setStalling(faultRandom.nextBoolean());
        discovery.setDelivery(
                scenario.lateUs(),
                faultRandom.nextBoolean(),
                faultRandom.nextBoolean() ? 0 : faultRandom.nextInt(1, 5),
                faultRandom.nextInt(4) == 0);
        queue.scheduleAfter(
                drawWithMean(faultRandom, scenario.faultGapUs()), this::injectNextFault);
    }

    private void setTemporaryMode(DiscoveryModel.Mode mode) {
        discovery.mode(mode);
        queue.scheduleAfter(
                faultRandom.nextLong(MAX_FAULT_US),
                () -> {
                    if (discovery.mode() == mode) {
                        discovery.mode(DiscoveryModel.Mode.WELL);
                    }
                });
    }

    private void pauseProxy() {
        if (!proxy.isStarted() || proxy.isPaused()) {
            return;
        }
        proxy.pause();
        queue.scheduleAfter(faultRandom.nextLong(MAX_PAUSE_US), proxy::resume);
    }

    private void changeAddress(int remaining) {
        if (!proxy.isStarted()) {
            return;
        }
        discovery.changeAddress();
        proxy.signalAddressChange();
        if (remaining > 1) {
            queue.scheduleAfter(
                    faultRandom.nextLong(MAX_ADDRESS_CHANGE_GAP_US),
                    () -> changeAddress(remaining - 1));
        }
    }
}
