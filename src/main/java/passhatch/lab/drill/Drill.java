package passhatch.lab.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import passhatch.lab.Seeds;
import passhatch.lab.load.LoadGenerator;
import passhatch.lab.load.LoadPlan;
import passhatch.lab.load.LoadStats;
import passhatch.lab.load.ProxyPool;

/**
 * Runs a scenario once: starts its processes, generates its load, injects its faults, and writes
 * the result.
 */
final class Drill {

    private static final Logger LOG = LoggerFactory.getLogger(Drill.class);
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final long PROGRESS_INTERVAL_MS = 200;

    /** Delay between the start of the last process and the first request. */
    private static final long LOAD_START_DELAY_MS = 100;

    private final Scenario scenario;
    private final Path jar;
    private final Path folder;
    private final List<String> jvmOptions;

    /**
     * Creates a run that writes all of its files to a folder.
     *
     * @param jvmOptions additional options for the JVMs that run the program
     */
    Drill(Scenario scenario, Path jar, Path folder, List<String> jvmOptions) {
        this.scenario = scenario;
        this.jar = jar;
        this.folder = folder;
        this.jvmOptions = jvmOptions;
    }

    /**
     * Receives the progress of a run: the time since the start of the load in milliseconds, and an
     * array with the number of completed requests and the number of served requests so far.
     */
    interface ProgressListener extends BiConsumer<Long, long[]> {}

    /**
     * Runs the scenario.
     *
     * @throws IOException if a process does not become ready or a file cannot be written; the
     *     started processes are ended before this is thrown
     */
    Result run(ProgressListener progress) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Seeds seeds = new Seeds(scenario.seed());
        ScheduledExecutorService timer =
                Executors.newSingleThreadScheduledExecutor(
                        body -> {
                            Thread thread = new Thread(body, "faults");
                            thread.setDaemon(true);
                            return thread;
                        });
        try (EventFile events = new EventFile(folder.resolve("events.jsonl"));
                Testbed testbed = new Testbed(scenario, seeds, jar, folder, jvmOptions)) {
            try {
                return run(progress, seeds, timer, events, testbed);
            } finally {
                timer.shutdownNow();
            }
        }
    }

    private Result run(
            ProgressListener progress,
            Seeds seeds,
            ScheduledExecutorService timer,
            EventFile events,
            Testbed testbed)
            throws IOException, InterruptedException {
        long processStartNs = System.nanoTime();
        testbed.startProxies(scenario.proxies().readyTimeout().toMillis());
        events.add(
                "all-ready",
                "after_ms",
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - processStartNs));
        ProxyPool proxyPool =
                new ProxyPool(testbed.proxies.stream().map(ProxyProcess::listenAddress).toList());
        for (ProxyProcess proxy : testbed.proxies) {
            proxyPool.setAdmitted(proxy.index(), true);
            events.add("started", "target", proxy.name(), "pid", proxy.process().pid());
        }
        List<FaultPlan.Step> steps = FaultPlan.stepsOf(scenario);
        LOG.info(
                "load begins: {} requests a second for {}, {} faults",
                scenario.load().rate(),
                scenario.duration(),
                steps.size());
        try (LoadGenerator load = new LoadGenerator(createLoadPlan(), proxyPool, seeds)) {
            long loadStartNs =
                    System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_START_DELAY_MS);
            events.setLoadStart(loadStartNs);
            new FaultRunner(scenario, testbed, proxyPool, events, timer)
                    .schedule(steps, loadStartNs);
            load.start(loadStartNs);
            var progressTask =
                    timer.scheduleAtFixedRate(
                            () ->
                                    progress.accept(
                                            TimeUnit.NANOSECONDS.toMillis(
                                                    System.nanoTime() - loadStartNs),
                                            load.completedAndServed()),
                            0,
                            PROGRESS_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
            LoadStats loadStats = load.await();
            progressTask.cancel(false);
            events.add("load-ended", "offered", loadStats.offered());
            for (ProxyProcess proxy : testbed.proxies) {
                events.add("figures", "target", proxy.name(), "vars", proxy.ask("vars"));
            }
            Result result =
                    ResultEvaluator.evaluate(
                            scenario, loadStats, testbed.ledger, steps, readyTimesMs(events));
            JSON.writeValue(folder.resolve("result.json").toFile(), result);
            ReportPage.write(
                    folder.resolve("report.html"), scenario, result, loadStats, events.events());
            return result;
        }
    }

    private static Map<String, Double> readyTimesMs(EventFile events) {
        Map<String, Double> times = new LinkedHashMap<>();
        for (EventFile.Event event : events.events()) {
            if (event.type().equals("ready")) {
                times.put(
                        event.details().get("target") + " at " + event.atMs() + " ms",
                        ((Number) event.details().get("after_ms")).doubleValue());
            }
        }
        return times;
    }

    private LoadPlan createLoadPlan() {
        Scenario.LoadShape load = scenario.load();
        return new LoadPlan(
                load.rate(),
                load.arrivals() == Scenario.Arrivals.EVEN,
                scenario.duration().toMillis(),
                load.retries(),
                load.connections(),
                load.threads(),
                scenario.classes().stream()
                        .map(
                                k ->
                                        new LoadPlan.RequestClass(
                                                k.name(),
                                                k.effect(),
                                                k.share(),
                                                TimeUnit.MICROSECONDS.convert(k.deadline())))
                        .toList());
    }
}
