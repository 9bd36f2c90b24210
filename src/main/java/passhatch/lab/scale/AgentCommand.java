package passhatch.lab.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code scale agent}: measures the resources that one agent uses. */
@Command(
        name = "agent",
        mixinStandardHelpOptions = true,
        description = {
            "Measures memory, processor share and traffic of one agent process, by the number of"
                    + " members, with and without duties.",
            "The other members run inside the tool's process. Exit code 1 if an agent ended early"
                    + " or never saw all members alive."
        })
final class AgentCommand implements Callable<Integer> {

    private static final String NAME = "agent";
    private static final int MIN_MEMBERS = AgentMeasurement.VOTERS + 1;
    private static final int MAX_MEMBERS = 1_000;
    private static final double KB_PER_MB = 1_024;

    @Spec private CommandSpec spec;
    @Mixin private ScaleOptions options;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,30,100,200",
            description = "Members of the fleet; default: ${DEFAULT-VALUE}.")
    private List<Integer> sizes;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ScaleOptions.requireWithin("--sizes", sizes, MIN_MEMBERS, MAX_MEMBERS);
        options.seconds();
        options.programJar();
        Path folder = options.createFolder(NAME);
        AgentResult result = measure(folder);
        ScaleOptions.writeJson(folder.resolve("result.json"), result);
        plot(result, folder.resolve("plot.png"));
        printResult(result, folder);
        return result.failures().isEmpty() ? 0 : 1;
    }

    private AgentResult measure(Path folder) throws InterruptedException {
        double loadBefore = Machine.loadAverage();
        AgentMeasurement measurement = new AgentMeasurement(options, folder);
        List<AgentResult.Point> points = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        try (var progress = options.createProgress(NAME, 2 * sizes.size())) {
            for (boolean duties : new boolean[] {false, true}) {
                for (int size : sizes) {
                    try {
                        points.add(measurement.measure(size, duties));
                    } catch (IOException failure) {
                        failures.add(size + " members: " + failure.getMessage());
                    }
                    progress.step(size + " members" + (duties ? ", duties" : ""));
                }
            }
        }
        return new AgentResult(
                options.seed(),
                options.seconds(),
                Machine.since(loadBefore),
                points,
                fitLines(points),
                failures);
    }

    private static List<AgentResult.Fit> fitLines(List<AgentResult.Point> points) {
        List<AgentResult.Fit> fits = new ArrayList<>();
        for (boolean duties : new boolean[] {false, true}) {
            List<AgentResult.Point> matching =
                    points.stream().filter(p -> p.duties() == duties).toList();
            if (matching.stream().mapToInt(AgentResult.Point::members).distinct().count() >= 2) {
                fits.add(fitLine("memory MB", duties, matching, p -> residentMb(p)));
                fits.add(
                        fitLine(
                                "processor share",
                                duties,
                                matching,
                                AgentResult.Point::processorShare));
                fits.add(
                        fitLine(
                                "sent bytes/s",
                                duties,
                                matching,
                                AgentResult.Point::sentBytesPerSecond));
            }
        }
        return fits;
    }

    private static AgentResult.Fit fitLine(
            String quantity,
            boolean duties,
            List<AgentResult.Point> points,
            ToDoubleFunction<AgentResult.Point> y) {
        return new AgentResult.Fit(
                quantity,
                duties,
                LinearFit.of(
                        points.stream().mapToDouble(AgentResult.Point::members).toArray(),
                        points.stream().mapToDouble(y).toArray()));
    }

    private static double residentMb(AgentResult.Point point) {
        return point.usage().residentKb() / KB_PER_MB;
    }

    private static void plot(AgentResult result, Path file) throws IOException {
        Plot plot = new Plot("Resident memory of an agent", "members", "MB");
        for (boolean duties : new boolean[] {false, true}) {
            List<AgentResult.Point> matching =
                    result.points().stream().filter(p -> p.duties() == duties).toList();
            plot.addLine(
                    duties ? "with duties" : "without duties",
                    matching.stream().map(AgentResult.Point::members).toList(),
                    matching.stream().map(AgentCommand::residentMb).toList());
        }
        plot.write(file);
    }

    private void printResult(AgentResult result, Path folder) {
        PrintWriter out = spec.commandLine().getOut();
        for (AgentResult.Point p : result.points()) {
            out.printf(
                    Locale.ROOT,
                    "%4d members%s: %.1f MB resident, %d threads, %.2f %% of a core, sends %.0f"
                            + " bytes/s in %.1f datagrams/s, receives %.1f datagrams/s%n",
                    p.members(),
                    p.duties() ? ", duties" : "",
                    residentMb(p),
                    p.usage().threads(),
                    100 * p.processorShare(),
                    p.sentBytesPerSecond(),
                    p.sentPerSecond(),
                    p.receivedPerSecond());
        }
        result.failures().forEach(f -> out.println("FELL OVER: " + f));
        out.println("Result: " + folder.resolve("result.json"));
        out.flush();
    }
}
