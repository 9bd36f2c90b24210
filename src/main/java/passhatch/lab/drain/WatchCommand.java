package passhatch.lab.drain;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import passhatch.cli.Commands;
import passhatch.lab.drain.DrainSimulation.RunResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code watch}: checks the drain rule in simulated runs, one for each seed. */
@Command(
        name = "watch",
        mixinStandardHelpOptions = true,
        description =
                "Simulates the watch on discovery, the lease of its list and the decision module,"
                        + " and checks each request against the drain rule.")
public final class WatchCommand implements Callable<Integer> {

    /** Number of runs between two lines of progress. */
    private static final long PROGRESS_INTERVAL = 100_000;

    private static final int PERCENT = 100;

    @Spec private CommandSpec spec;

    @Option(
            names = "--seeds",
            defaultValue = "0..1999",
            converter = SeedRange.Converter.class,
            paramLabel = "A..B",
            description = "The seeds of the runs; default: ${DEFAULT-VALUE}.")
    private SeedRange seeds;

    @Option(
            names = "--draining",
            defaultValue = "TURNS_AWAY",
            description =
                    "What draining servers do: ${COMPLETION-CANDIDATES}; default:"
                            + " ${DEFAULT-VALUE}.")
    private DrainSimulation.DrainBehavior draining;

    @Option(
            names = "--lists",
            defaultValue = "ON_REQUEST",
            description =
                    "How the proxy gets the list: ${COMPLETION-CANDIDATES}; default:"
                            + " ${DEFAULT-VALUE}.")
    private DrainSimulation.ListMode lists;

    @Option(names = "--timeline", description = "Print all events of the run; for a single seed.")
    private boolean timeline;

    private final AtomicLong completedRuns = new AtomicLong();
    private final AtomicLong firstBrokenSeed = new AtomicLong(Long.MAX_VALUE);
    private final LongAdder brokenRuns = new LongAdder();

    /**
     * Number of runs in which the proxy was deemed notified of a change before discovery wrote it
     * to the proxy, or although discovery never wrote it.
     */
    private final LongAdder runsNotifiedBeforeWritten = new LongAdder();

    private final LongAdder requests = new LongAdder();
    private final LongAdder sent = new LongAdder();

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        if (timeline && seeds.count() == 1) {
            DrainSimulation.simulate(seeds.first(), draining, lists, out::println);
        }
        seeds.seeds()
                .parallel()
                .forEach(seed -> countRun(DrainSimulation.simulate(seed, draining, lists), out));
        out.printf(
                "%d seeds, %d broken; %d had a drain that went unheard; %d requests, %.1f%% of them"
                        + " sent%n",
                seeds.count(),
                brokenRuns.sum(),
                runsNotifiedBeforeWritten.sum(),
                requests.sum(),
                PERCENT * (double) sent.sum() / Math.max(1, requests.sum()));
        if (brokenRuns.sum() > 0) {
            printTimeline(firstBrokenSeed.get(), out);
        }
        out.flush();
        return brokenRuns.sum() == 0 && runsNotifiedBeforeWritten.sum() > 0
                ? 0
                : Commands.EXIT_FAILURE;
    }

    private void countRun(RunResult result, PrintWriter out) {
        requests.add(result.requests());
        sent.add(result.sent());
        if (result.notifiedBeforeWritten() > 0) {
            runsNotifiedBeforeWritten.increment();
        }
        if (!result.lateSends().isEmpty()) {
            brokenRuns.increment();
            firstBrokenSeed.accumulateAndGet(result.seed(), Math::min);
        }
        if (completedRuns.incrementAndGet() % PROGRESS_INTERVAL == 0) {
            out.printf(
                    "%d of %d seeds, %d broken%n",
                    completedRuns.get(), seeds.count(), brokenRuns.sum());
            out.flush();
        }
    }

    private void printTimeline(long seed, PrintWriter out) {
        out.println("the first that broke the rule, seed " + seed + ":");
        DrainSimulation.simulate(seed, draining, lists, out::println);
        out.printf(
                "again: java -jar target/passhatch-lab.jar watch --timeline --draining %s --lists"
                        + " %s --seeds %d%n",
                draining, lists, seed);
    }
}
