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

/** Runs a scenario once, from the first start to the last process's end. */
final class Drill {

    private static final Logger LOG = LoggerFactory.getLogger(Drill.class);
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final long PROGRESS_MS = 200;

    /** Between the last start and the first request. */
    private static final long LEAD_MS = 100;

    private final Scenario scenario;
    private final Path jar;
    private final Path folder;
    private final List<String> options;

    /**
     * A run that leaves all of its files in a folder.
     *
     * @param options more options for the JVMs of the program
     */
    Drill(Scenario scenario, Path jar, Path folder, List<String> options) {
        this.scenario = scenario;
        this.jar = jar;
        this.folder = folder;
        this.options = options;
    }

    /**
     * Hears of the time given load so far, in milliseconds, and of the requests that ended and were
     * served.
     */
    interface Progress extends BiConsumer<Long, long[]> {}

    /**
     * Runs it.
     *
     * @throws IOException where a process does not get ready, or a file cannot be written; whatever
     *     was started has ended by then
     */
    Result run(Progress progress) throws IOException, InterruptedException {
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
                Field field = new Field(scenario, seeds, jar, folder, options)) {
            try {
                return run(progress, seeds, timer, events, field);
            } finally {
                timer.shutdownNow();
            }
        }
    }

    private Result run(
            Progress progress,
            Seeds seeds,
            ScheduledExecutorService timer,
            EventFile events,
            Field field)
            throws IOException, InterruptedException {
        long startNs = System.nanoTime();
        field.startProxies(scenario.proxies().readyWithin().toMillis());
        events.add(
                "all-ready",
                "after_ms",
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
        ProxyPool front = new ProxyPool(field.proxies.stream().map(ProxyChild::listen).toList());
        for (ProxyChild proxy : field.proxies) {
            front.setAdmitted(proxy.number(), true);
            events.add("started", "target", proxy.name(), "pid", proxy.child().pid());
        }
        List<FaultPlan.Step> steps = FaultPlan.of(scenario);
        LOG.info(
                "load begins: {} requests a second for {}, {} faults",
                scenario.load().rate(),
                scenario.duration(),
                steps.size());
        try (LoadGenerator load = new LoadGenerator(plan(), front, seeds)) {
            long beginNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEAD_MS);
            events.zero(beginNs);
            new FaultRunner(scenario, field, front, events, timer).schedule(steps, beginNs);
            load.start(beginNs);
            var reports =
                    timer.scheduleAtFixedRate(
                            () ->
                                    progress.accept(
                                            TimeUnit.NANOSECONDS.toMillis(
                                                    System.nanoTime() - beginNs),
                                            load.completedAndServed()),
                            0,
                            PROGRESS_MS,
                            TimeUnit.MILLISECONDS);
            LoadStats tally = load.await();
            reports.cancel(false);
            events.add("load-ended", "offered", tally.offered());
            for (ProxyChild proxy : field.proxies) {
                events.add("figures", "target", proxy.name(), "vars", proxy.ask("vars"));
            }
            Result result = Judge.judge(scenario, tally, field.ledger, steps, readyTimes(events));
            JSON.writeValue(folder.resolve("result.json").toFile(), result);
            ReportPage.write(folder.resolve("report.html"), scenario, result, tally, events.all());
            return result;
        }
    }

    private static Map<String, Double> readyTimes(EventFile events) {
        Map<String, Double> times = new LinkedHashMap<>();
        for (EventFile.Event event : events.all()) {
            if (event.what().equals("ready")) {
                times.put(
                        event.more().get("target") + " at " + event.atMs() + " ms",
                        ((Number) event.more().get("after_ms")).doubleValue());
            }
        }
        return times;
    }

    private LoadPlan plan() {
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
