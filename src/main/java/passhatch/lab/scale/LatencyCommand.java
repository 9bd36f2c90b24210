package passhatch.lab.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import passhatch.agent.config.InvalidInputException;
import passhatch.lab.Seeds;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code scale latency}: measures the latency that proxies add to a request. */
@Command(
        name = "latency",
        mixinStandardHelpOptions = true,
        description = {
            "Measures the latency that proxies add to a request: runs the same open load direct,"
                    + " and through several proxies in a row.",
            "Exit code 1, and no figures for the step, if the load tool itself fell behind."
        })
final class LatencyCommand implements Callable<Integer> {

    private static final String NAME = "latency";
    private static final String TOPOLOGY =
            "each proxy's list has one entry, the next proxy; the last one's has the backends;"
                    + " there are no services between them";
    private static final int MEMORY_MB = 144;
    private static final int MAX_ENTRIES = 5_000;
    private static final int MAX_RATE = 20_000;
    private static final int MAX_DEPTH = 20;
    private static final int MAX_TRIES = 10;
    private static final int MAX_BEHIND_US = 10_000_000;
    private static final int WARM_UP_RATE = 400;
    private static final int WARM_UP_S = 3;

    @Spec private CommandSpec spec;
    @Mixin private ScaleOptions options;

    @Option(
            names = "--paths",
            split = ",",
            paramLabel = "N",
            defaultValue = "1,2,7",
            description = "Proxies in a row, besides direct requests; default: ${DEFAULT-VALUE}.")
    private List<Integer> paths;

    @Option(
            names = "--rates",
            split = ",",
            paramLabel = "N",
            defaultValue = "100,400,1600,3200",
            description = "Requests a second; default: ${DEFAULT-VALUE}.")
    private List<Integer> rates;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,100,1000",
            description =
                    "Lengths of the last proxy's list; the first is measured at all rates, the"
                            + " others at the first rate only. Default: ${DEFAULT-VALUE}.")
    private List<Integer> sizes;

    @Option(
            names = "--behind-us",
            defaultValue = "250",
            description =
                    "A step is void if its requests were sent later than this after they were due,"
                            + " at the 99th percentile; default: ${DEFAULT-VALUE}.")
    private int behindUs;

    @Option(
            names = "--tries",
            defaultValue = "3",
            description =
                    "How often a step is run in all while it is void; default: ${DEFAULT-VALUE}.")
    private int tries;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ScaleOptions.requireWithin("--paths", paths, 1, MAX_DEPTH);
        ScaleOptions.requireWithin("--rates", rates, 1, MAX_RATE);
        ScaleOptions.requireWithin("--sizes", sizes, 1, MAX_ENTRIES);
        if (behindUs < 1 || behindUs > MAX_BEHIND_US) {
            throw new InvalidInputException("--behind-us: expected 1 to " + MAX_BEHIND_US);
        }
        if (tries < 1 || tries > MAX_TRIES) {
            throw new InvalidInputException("--tries: expected 1 to " + MAX_TRIES);
        }
        options.seconds();
        options.programJar();
        Path folder = options.createFolder(NAME);
        LatencyResult result = measure(folder);
        ScaleOptions.writeJson(folder.resolve("result.json"), result);
        plot(result, folder.resolve("plot.png"));
        printResult(result, folder);
        return result.tooBusy() ? 1 : 0;
    }

    private LatencyResult measure(Path folder) throws IOException, InterruptedException {
        double loadBefore = Machine.loadAverage();
        List<LatencyResult.Step> steps = new ArrayList<>();
        int plannedSteps = (paths.size() + 1) * (rates.size() + sizes.size() - 1);
        ProxyTestbed testbed =
                new ProxyTestbed(
                        options.programJar(),
                        folder,
                        options.seed(),
                        MEMORY_MB,
                        options.jvmOptions());
        try (var progress = options.createProgress(NAME, plannedSteps);
                ProxyChain chain =
                        new ProxyChain(
                                testbed,
                                Collections.max(paths),
                                Collections.max(sizes),
                                options.seed())) {
            LatencyMeasurement measurement =
                    new LatencyMeasurement(
                            chain, new Seeds(options.seed()), options.seconds(), behindUs, tries);
            for (int size : sizes) {
                chain.setListedBackendCount(size);
                measurement.warmUp(0, WARM_UP_RATE, WARM_UP_S);
                measurement.warmUp(Collections.max(paths), WARM_UP_RATE, WARM_UP_S);
                for (int rate : size == sizes.get(0) ? rates : rates.subList(0, 1)) {
                    steps.addAll(measureAtRate(measurement, size, rate, progress));
                }
            }
        }
        List<LatencyResult.Added> added = computeAddedLatency(steps);
        return new LatencyResult(
                options.seed(),
                options.seconds(),
                TOPOLOGY,
                Limits.ADDED_P99_US,
                Machine.since(loadBefore),
                steps.stream().anyMatch(LatencyResult.Step::tooBusy),
                steps,
                added,
                compareWithLimits(added));
    }

    /**
     * Measures direct requests and then each path, one directly after the other and all at the same
     * request rate.
     */
    private List<LatencyResult.Step> measureAtRate(
            LatencyMeasurement measurement, int size, int rate, ScaleOptions.Progress progress)
            throws IOException, InterruptedException {
        List<LatencyResult.Step> steps = new ArrayList<>();
        steps.add(measurement.measureStep(0, size, rate));
        progress.step(size + " entries, " + rate + " calls/s, direct");
        for (int proxyCount : paths) {
            steps.add(measurement.measureStep(proxyCount, size, rate));
            progress.step(size + " entries, " + rate + " calls/s, " + proxyCount + " proxies");
        }
        return steps;
    }

    /**
     * Returns the latency of each path minus the latency of direct requests at the same load. A
     * path is left out if it was saturated, or if the load tool fell behind while it measured the
     * path or the direct requests.
     */
    static List<LatencyResult.Added> computeAddedLatency(List<LatencyResult.Step> steps) {
        List<LatencyResult.Added> added = new ArrayList<>();
        for (LatencyResult.Step path : steps) {
            steps.stream()
                    .filter(s -> s.proxies() == 0 && path.proxies() > 0)
                    .filter(s -> s.entries() == path.entries())
                    .filter(s -> s.callsPerSecond() == path.callsPerSecond())
                    .filter(s -> !s.tooBusy() && !path.tooBusy() && !path.saturated())
                    .findFirst()
                    .ifPresent(direct -> added.add(LatencyResult.Added.of(direct, path)));
        }
        return added;
    }

    private static List<Verdict> compareWithLimits(List<LatencyResult.Added> added) {
        return added.stream()
                .filter(a -> a.proxies() == Limits.PATH_DEPTH)
                .map(
                        a ->
                                Verdict.of(
                                        "added at p99, 7 proxies, "
                                                + a.entries()
                                                + " entries, "
                                                + a.callsPerSecond()
                                                + " calls/s",
                                        "us",
                                        a.p99Us(),
                                        Limits.ADDED_P99_US,
                                        false))
                .toList();
    }

    private void plot(LatencyResult result, Path file) throws IOException {
        Plot plot = new Plot("Time added at p99", "calls a second", "microseconds");
        for (int proxyCount : paths) {
            List<LatencyResult.Added> points =
                    result.added().stream()
                            .filter(a -> a.proxies() == proxyCount && a.entries() == sizes.get(0))
                            .toList();
            plot.addLine(
                    proxyCount + " proxies",
                    points.stream().map(LatencyResult.Added::callsPerSecond).toList(),
                    points.stream().map(LatencyResult.Added::p99Us).toList());
        }
        plot.write(file);
    }

    private void printResult(LatencyResult result, Path folder) {
        PrintWriter out = spec.commandLine().getOut();
        for (LatencyResult.Step s : result.steps()) {
            out.println(formatStep(s));
        }
        for (LatencyResult.Added a : result.added()) {
            out.printf(
                    Locale.ROOT,
                    "added: %d proxies, %4d entries, %5d calls/s: p50 %d us, p99 %d us, p99.9 %d"
                            + " us; p99 is %.2f of the direct call's%n",
                    a.proxies(),
                    a.entries(),
                    a.callsPerSecond(),
                    a.p50Us(),
                    a.p99Us(),
                    a.p999Us(),
                    a.ratioP99());
        }
        result.verdicts().forEach(v -> out.println(v.text()));
        out.println("Result: " + folder.resolve("result.json"));
        out.flush();
    }

    private static String formatStep(LatencyResult.Step s) {
        String prefix =
                String.format(
                        Locale.ROOT,
                        "%d proxies, %4d entries, %5d calls/s: ",
                        s.proxies(),
                        s.entries(),
                        s.callsPerSecond());
        if (s.tooBusy()) {
            return prefix
                    + String.format(
                            Locale.ROOT,
                            "too busy to measure (calls sent late: p99 %.0f us)",
                            s.behindP99Us());
        }
        return prefix
                + String.format(
                        Locale.ROOT,
                        "p50 %d us, p99 %d us, p99.9 %d us, served %.4f%s%s",
                        s.latencyUs().p50(),
                        s.latencyUs().p99(),
                        s.latencyUs().p999(),
                        s.servedShare(),
                        s.processorUsPerCall() == null
                                ? ""
                                : String.format(
                                        Locale.ROOT,
                                        ", %.0f us of processor a call and proxy",
                                        s.processorUsPerCall()),
                        s.saturated() ? ", SATURATED" : "");
    }
}
