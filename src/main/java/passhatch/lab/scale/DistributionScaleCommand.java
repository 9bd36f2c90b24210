package passhatch.lab.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command {@code scale distribution}: simulates changes of the configuration in fleets of
 * several sizes.
 */
@Command(
        name = "distribution",
        mixinStandardHelpOptions = true,
        description = "Simulates the distribution of changes in fleets of several sizes.")
final class DistributionScaleCommand implements Callable<Integer> {

    private static final int MAX_SUBSCRIBERS = 40_000;
    private static final int MAX_CHANGES = 10_000;
    private static final Path DIRECTORY = Path.of("target", "scale", "distribution");

    /**
     * The result that is written to a file: the figures by number of subscribers, and a line fitted
     * to each figure.
     */
    record Result(
            long seed, Map<Integer, Map<String, Double>> sizes, Map<String, LinearFit> fits) {}

    @Spec private CommandSpec spec;

    @Option(
            names = "--subscribers",
            split = ",",
            defaultValue = "1000,4000,8000,19000",
            description = "Default: ${DEFAULT-VALUE}.")
    private List<Integer> subscribers;

    @Option(names = "--zones", defaultValue = "25", description = "Default: ${DEFAULT-VALUE}.")
    private int zones;

    @Option(names = "--regions", defaultValue = "7", description = "Default: ${DEFAULT-VALUE}.")
    private int regions;

    @Option(
            names = "--changes",
            defaultValue = "200",
            description = "Changes in each event, 1,000 a minute; default: ${DEFAULT-VALUE}.")
    private int changes;

    @Option(
            names = "--events",
            split = ",",
            converter = DistributionEvent.Converter.class,
            description = "Measures only these events; default: all.")
    private List<DistributionEvent> events = List.of(DistributionEvent.values());

    @Option(names = "--seed", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Override
    public Integer call() throws IOException {
        checkOptions();
        Map<Integer, Map<String, Double>> sizes = new TreeMap<>();
        for (int size : subscribers) {
            spec.commandLine().getErr().println("simulating " + size + " subscribers");
            spec.commandLine().getErr().flush();
            DistributionScaleRun run =
                    new DistributionScaleRun(size, zones, regions, changes, seed);
            sizes.put(size, run.run(EnumSet.copyOf(events)));
        }
        Files.createDirectories(DIRECTORY);
        Path file = DIRECTORY.resolve("result.json");
        Result result = new Result(seed, sizes, fitLines(sizes));
        JSON json = JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT);
        Files.writeString(file, json.asString(toMap(result)));
        DistributionScalePlot.write(DIRECTORY.resolve("relay.png"), sizes);
        sizes.forEach((size, figures) -> printFigures(size, figures));
        spec.commandLine().getOut().println("written: " + file);
        spec.commandLine().getOut().flush();
        return 0;
    }

    private void checkOptions() {
        for (int size : subscribers) {
            require(size >= 1 && size <= MAX_SUBSCRIBERS, "subscribers", MAX_SUBSCRIBERS);
        }
        require(regions >= 1 && regions <= zones, "regions, at most as many as zones", zones);
        require(changes >= 2 && changes <= MAX_CHANGES, "changes, at least 2", MAX_CHANGES);
        require(seed >= 0, "seed, not negative", Long.MAX_VALUE);
    }

    private void require(boolean holds, String what, long max) {
        if (!holds) {
            throw new ParameterException(
                    spec.commandLine(), "expected 1 to " + max + " for " + what);
        }
    }

    private static Map<String, LinearFit> fitLines(Map<Integer, Map<String, Double>> sizes) {
        Map<String, LinearFit> fits = new TreeMap<>();
        if (sizes.size() < 2) {
            return fits;
        }
        double[] x = sizes.keySet().stream().mapToDouble(Integer::doubleValue).toArray();
        for (String name : sizes.values().iterator().next().keySet()) {
            double[] y =
                    sizes.values().stream()
                            .mapToDouble(figures -> figures.getOrDefault(name, 0.0))
                            .toArray();
            fits.put(name, LinearFit.of(x, y));
        }
        return fits;
    }

    private static Map<String, Object> toMap(Result result) {
        Map<String, Object> fits = new TreeMap<>();
        result.fits()
                .forEach(
                        (name, fit) -> {
                            Map<String, Object> fitMap = new LinkedHashMap<>();
                            fitMap.put("intercept", fit.intercept());
                            fitMap.put("slope", fit.slope());
                            fitMap.put("residual", fit.residual());
                            fitMap.put("measured", new ArrayList<>(List.of(fit.from(), fit.to())));
                            fits.put(name, fitMap);
                        });
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("seed", result.seed());
        map.put("sizes", result.sizes());
        map.put("fits", fits);
        return map;
    }

    private void printFigures(int size, Map<String, Double> figures) {
        figures.forEach(
                (name, value) ->
                        spec.commandLine().getOut().printf("%6d %-44s %.4f%n", size, name, value));
    }
}
