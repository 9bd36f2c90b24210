package passhatch.lab.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import passhatch.agent.config.InvalidInputException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The command {@code scale proxy}: measures the resources that a proxy uses while it receives no
 * requests.
 */
@Command(
        name = "proxy",
        mixinStandardHelpOptions = true,
        description = {
            "Measures memory, threads, processor share and discovery traffic of a proxy without"
                    + " requests, by the length of its list and the rate of changes.",
            "Exit code 1 if a proxy ended early or did not become ready."
        })
final class ProxyCommand implements Callable<Integer> {

    private static final String NAME = "proxy";
    private static final int MAX_ENTRIES = 50_000;
    private static final int MAX_CHANGES_PER_SECOND = 1_000;
    private static final int MIN_MEMORY_MB = 64;
    private static final int MAX_MEMORY_MB = 4_096;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double KB_PER_MB = 1_024;

    @Spec private CommandSpec spec;
    @Mixin private ScaleOptions options;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,100,1000,10000",
            description = "Lengths of the list; default: ${DEFAULT-VALUE}.")
    private List<Integer> sizes;

    @Option(
            names = "--changes",
            split = ",",
            paramLabel = "N",
            defaultValue = "0,1,10,100",
            description = "Changes of the list a second; default: ${DEFAULT-VALUE}.")
    private List<Integer> changeRates;

    @Option(
            names = "--memory-mb",
            defaultValue = "128",
            description = "Memory limit of the proxy; default: ${DEFAULT-VALUE}.")
    private int memoryMb;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ScaleOptions.requireWithin("--sizes", sizes, 1, MAX_ENTRIES);
        ScaleOptions.requireWithin("--changes", changeRates, 0, MAX_CHANGES_PER_SECOND);
        if (memoryMb < MIN_MEMORY_MB || memoryMb > MAX_MEMORY_MB) {
            throw new InvalidInputException(
                    "--memory-mb: expected " + MIN_MEMORY_MB + " to " + MAX_MEMORY_MB);
        }
        options.seconds();
        options.programJar();
        Path folder = options.createFolder(NAME);
        ProxyResult result = measure(folder);
        ScaleOptions.writeJson(folder.resolve("result.json"), result);
        plot(result, folder.resolve("plot.png"));
        printResult(result, folder);
        return result.failures().isEmpty() ? 0 : 1;
    }

    private ProxyResult measure(Path folder) throws InterruptedException {
        double loadBefore = Machine.loadAverage();
        ProxyMeasurement measurement = new ProxyMeasurement(options, folder, memoryMb);
        List<ProxyResult.Point> points = new ArrayList<>();
        try (var progress = options.createProgress(NAME, sizes.size() * changeRates.size())) {
            for (int size : sizes) {
                points.addAll(measurement.measure(size, changeRates, progress));
            }
        }
        List<ProxyResult.Fit> fits = fitLines(points);
        return new ProxyResult(
                options.seed(),
                memoryMb,
                options.seconds(),
                Machine.since(loadBefore),
                points,
                fits,
                measurement.failures(),
                compareWithLimits(fits));
    }

    private List<ProxyResult.Fit> fitLines(List<ProxyResult.Point> points) {
        List<ProxyResult.Fit> fits = new ArrayList<>();
        for (int rate : changeRates) {
            List<ProxyResult.Point> matching =
                    points.stream().filter(p -> p.changesPerSecond() == rate).toList();
            addFits(fits, "entries", rate, matching, ProxyResult.Point::entries);
        }
        for (int size : sizes) {
            List<ProxyResult.Point> matching =
                    points.stream().filter(p -> p.entries() == size).toList();
            addFits(fits, "changes/s", size, matching, ProxyResult.Point::changesPerSecond);
        }
        return fits;
    }

    private static void addFits(
            List<ProxyResult.Fit> fits,
            String over,
            int at,
            List<ProxyResult.Point> points,
            ToDoubleFunction<ProxyResult.Point> x) {
        double[] xs = points.stream().mapToDouble(x).toArray();
        if (java.util.Arrays.stream(xs).distinct().count() < 2) {
            return;
        }
        fits.add(
                fitLine(
                        "memory MB",
                        over,
                        at,
                        xs,
                        points,
                        p -> p.usage().residentKb() / KB_PER_MB));
        fits.add(
                fitLine(
                        "processor share",
                        over,
                        at,
                        xs,
                        points,
                        ProxyResult.Point::processorShare));
        fits.add(
                fitLine(
                        "discovery bytes/s",
                        over,
                        at,
                        xs,
                        points,
                        ProxyResult.Point::discoveryBytesPerSecond));
    }

    private static ProxyResult.Fit fitLine(
            String quantity,
            String over,
            int at,
            double[] xs,
            List<ProxyResult.Point> points,
            ToDoubleFunction<ProxyResult.Point> y) {
        return new ProxyResult.Fit(
                quantity, over, at, LinearFit.of(xs, points.stream().mapToDouble(y).toArray()));
    }

    /**
     * Compares the fitted lines with the limits in two cases: for a list of the whole fleet's
     * backends without changes, and for each measured length of the list at the fleet's daily rate
     * of changes.
     */
    private static List<Verdict> compareWithLimits(List<ProxyResult.Fit> fits) {
        List<Verdict> verdicts = new ArrayList<>();
        double changesPerSecond = Limits.CHANGES_PER_DAY / SECONDS_PER_DAY;
        for (ProxyResult.Fit fit : fits) {
            LinearFit line = fit.line();
            if (fit.over().equals("entries") && fit.at() == 0) {
                verdicts.add(
                        compareWithLimit(
                                fit.quantity(),
                                ", at rest, " + Limits.BACKENDS + " entries",
                                line.at(Limits.BACKENDS),
                                line.extrapolates(Limits.BACKENDS)));
            } else if (fit.over().equals("changes/s")) {
                verdicts.add(
                        compareWithLimit(
                                fit.quantity(),
                                ", " + fit.at() + " entries, a day's changes",
                                line.at(changesPerSecond),
                                line.extrapolates(changesPerSecond)));
            }
        }
        return verdicts;
    }

    private static Verdict compareWithLimit(
            String quantity, String suffix, double value, boolean extrapolated) {
        double limit =
                switch (quantity) {
                    case "memory MB" -> Limits.MEMORY_MB;
                    case "processor share" -> Limits.PROCESSOR_SHARE;
                    default -> Limits.BYTES_PER_SECOND;
                };
        return Verdict.of(quantity + suffix, "", value, limit, extrapolated);
    }

    private void plot(ProxyResult result, Path file) throws IOException {
        Plot plot = new Plot("Resident memory of a proxy", "entries", "MB");
        for (int rate : changeRates) {
            List<ProxyResult.Point> pointsAtRate =
                    result.points().stream().filter(p -> p.changesPerSecond() == rate).toList();
            plot.addLine(
                    rate + " changes/s",
                    pointsAtRate.stream().map(ProxyResult.Point::entries).toList(),
                    pointsAtRate.stream().map(p -> p.usage().residentKb() / KB_PER_MB).toList());
        }
        plot.write(file);
    }

    private void printResult(ProxyResult result, Path folder) {
        PrintWriter out = spec.commandLine().getOut();
        for (ProxyResult.Point p : result.points()) {
            out.printf(
                    Locale.ROOT,
                    "%6d entries, %4d changes/s: %6.1f MB resident, %s, %3d threads,"
                            + " %5.2f %% of a core, %9.0f bytes/s%n",
                    p.entries(),
                    p.changesPerSecond(),
                    p.usage().residentKb() / KB_PER_MB,
                    p.usage().proportionalKb() == null
                            ? "no Pss"
                            : String.format(
                                    Locale.ROOT,
                                    "%.1f MB Pss",
                                    p.usage().proportionalKb() / KB_PER_MB),
                    p.usage().threads(),
                    100 * p.processorShare(),
                    p.discoveryBytesPerSecond());
        }
        result.verdicts().forEach(v -> out.println(v.text()));
        result.failures().forEach(f -> out.println("FELL OVER: " + f));
        out.println("Result: " + folder.resolve("result.json"));
        out.flush();
    }
}
