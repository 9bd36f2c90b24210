package passhatch.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import passhatch.agent.config.InvalidInputException;
import passhatch.fleet.Membership;
import passhatch.lab.fleet.FleetSim;
import passhatch.lab.scale.MembershipScaleResult.Outcome;
import passhatch.lab.scale.MembershipScaleResult.Size;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The command {@code scale membership}: measures the cost of the membership protocol at several
 * fleet sizes.
 */
@Command(
        name = "membership",
        mixinStandardHelpOptions = true,
        description =
                "Measures membership in simulated time at several fleet sizes, and fits lines over"
                        + " the sizes. Writes a progress line for each scenario to standard error.")
final class MembershipScaleCommand implements Callable<Integer> {

    private static final int MIN_MEMBERS = 50;
    private static final int MIN_BYTES_PER_SECOND = 1_024;

    @Spec private CommandSpec spec;

    @Option(
            names = "--members",
            split = ",",
            required = true,
            description = "Sizes of the fleet, separated by commas.")
    private List<Integer> sizes;

    @Option(names = "--seed", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--loss",
            defaultValue = "0.3",
            description = "Fraction of datagrams lost in LOSS; default: ${DEFAULT-VALUE}.")
    private double loss;

    @Option(
            names = "--bytes-per-second",
            defaultValue = "" + FleetSim.DEFAULT_BYTES_PER_SECOND,
            description = "Send limit of each process; default: ${DEFAULT-VALUE}.")
    private long bytesPerSecond;

    @Option(
            names = "--simulated-seconds",
            defaultValue = "30",
            description = "Simulated duration of REST, CHURN and LOSS; default: ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--cut-seconds",
            defaultValue = "120",
            description =
                    "Simulated duration of the partition in REGION; default: ${DEFAULT-VALUE}.")
    private int cutSeconds;

    @Option(
            names = "--wall-seconds",
            defaultValue = "120",
            description = "Limit of real time for each scenario; default: ${DEFAULT-VALUE}.")
    private long wallSeconds;

    @Option(
            names = "--threads",
            defaultValue = "1",
            description = "Number of scenarios that run in parallel; default: ${DEFAULT-VALUE}.")
    private int threads;

    @Option(
            names = "--scenarios",
            split = ",",
            description = "Default: all of ${COMPLETION-CANDIDATES}.")
    private Set<MembershipScenario> scenarios = EnumSet.allOf(MembershipScenario.class);

    @Option(
            names = "--target",
            defaultValue = "19000",
            description = "Fleet size at which the lines are evaluated; default: ${DEFAULT-VALUE}.")
    private int target;

    @Option(
            names = "--out",
            defaultValue = "target/scale/membership",
            description = "Folder for the result and the plot; default: ${DEFAULT-VALUE}.")
    private Path folder;

    @Override
    public Integer call() throws IOException, InterruptedException {
        checkOptions();
        PrintWriter out = spec.commandLine().getOut();
        List<Size> measured = new ArrayList<>();
        for (int members : sizes) {
            Size size = new Size(members, runScenarios(members));
            measured.add(size);
            // The results are written after each size, so that an interrupted run keeps the results
            // so far.
            MembershipScaleText.print(out, size);
            write(createResult(measured));
        }
        MembershipScaleText.printFits(out, createResult(measured).fits());
        return 0;
    }

    private MembershipScaleResult createResult(List<Size> measured) {
        return new MembershipScaleResult(
                seed,
                bytesPerSecond,
                loss,
                seconds,
                measured,
                MembershipScaleFits.fitLines(measured, target));
    }

    private void write(MembershipScaleResult result) throws IOException {
        Files.createDirectories(folder);
        new ObjectMapper()
                .enable(SerializationFeature.INDENT_OUTPUT)
                .writeValue(folder.resolve("result.json").toFile(), result);
        MembershipScalePlot.write(folder.resolve("plot.svg"), result);
    }

    private void checkOptions() {
        for (Integer size : sizes) {
            if (size < MIN_MEMBERS || size > Membership.MAX_MEMBERS) {
                throw new InvalidInputException(
                        "--members: expected " + MIN_MEMBERS + " to " + Membership.MAX_MEMBERS);
            }
        }
        require(loss >= 0 && loss <= 0.9, "--loss: expected 0 to 0.9");
        require(seconds >= 1 && seconds <= 3600, "--simulated-seconds: expected 1 to 3600");
        require(cutSeconds >= 1 && cutSeconds <= 3600, "--cut-seconds: expected 1 to 3600");
        require(wallSeconds >= 1 && wallSeconds <= 3600, "--wall-seconds: expected 1 to 3600");
        require(
                bytesPerSecond >= MIN_BYTES_PER_SECOND,
                "--bytes-per-second: expected " + MIN_BYTES_PER_SECOND + " or more");
        require(threads >= 1 && threads <= 64, "--threads: expected 1 to 64");
        require(target >= 1, "--target: expected 1 or more");
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new InvalidInputException(message);
        }
    }

    private List<Outcome> runScenarios(int members) throws InterruptedException {
        MembershipScaleRun run =
                new MembershipScaleRun(
                        seed, members, bytesPerSecond, loss, seconds, cutSeconds, wallSeconds);
        List<Outcome> outcomes = new ArrayList<>();
        // Memory is measured as the growth of the heap, so no other scenario may run meanwhile.
        if (scenarios.contains(MembershipScenario.MEMORY)) {
            outcomes.add(printProgress(members, run.run(MembershipScenario.MEMORY)));
        }
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Outcome>> running = new ArrayList<>();
            for (MembershipScenario scenario : scenarios) {
                if (scenario != MembershipScenario.MEMORY) {
                    running.add(pool.submit(() -> printProgress(members, run.run(scenario))));
                }
            }
            for (Future<Outcome> outcome : running) {
                outcomes.add(outcome.get());
            }
        } catch (ExecutionException failed) {
            throw new IllegalStateException(failed.getCause());
        } finally {
            pool.shutdownNow();
        }
        return outcomes;
    }

    private Outcome printProgress(int members, Outcome outcome) {
        PrintWriter err = spec.commandLine().getErr();
        err.printf(
                Locale.ROOT,
                "%d members, %s: %.1f s%s%n",
                members,
                outcome.scenario(),
                outcome.wallSeconds(),
                outcome.problem() == null ? "" : ", " + outcome.problem());
        err.flush();
        return outcome;
    }
}
