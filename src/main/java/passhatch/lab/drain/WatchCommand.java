package passhatch.lab.drain;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import passhatch.cli.Commands;
import passhatch.lab.drain.DrainSimulation.Outcome;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code watch}: plays the watch on discovery against the drain rule, by seed. */
@Command(
        name = "watch",
        mixinStandardHelpOptions = true,
        description =
                "Plays the watch on discovery, the lease on its list and the decision module in"
                        + " simulated time, and checks each request against the drain rule.")
public final class WatchCommand implements Callable<Integer> {

    private static final long PROGRESS_EVERY = 100_000;
    private static final int PERCENT = 100;

    @Spec private CommandSpec spec;

    @Option(
            names = "--seeds",
            defaultValue = "0..1999",
            converter = SeedRange.Converter.class,
            paramLabel = "A..B",
            description = "The runs to play; default: ${DEFAULT-VALUE}.")
    private SeedRange seeds;

    @Option(
            names = "--draining",
            defaultValue = "TURNS_AWAY",
            description =
                    "What servers do that drain: ${COMPLETION-CANDIDATES}; default:"
                            + " ${DEFAULT-VALUE}.")
    private DrainSimulation.Draining draining;

    @Option(names = "--timeline", description = "Print all that happens, for a single seed.")
    private boolean timeline;

    private final AtomicLong played = new AtomicLong();
    private final AtomicLong firstBroken = new AtomicLong(Long.MAX_VALUE);
    private final LongAdder broken = new LongAdder();
    private final LongAdder exercised = new LongAdder();
    private final LongAdder requests = new LongAdder();
    private final LongAdder sent = new LongAdder();

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        if (timeline && seeds.count() == 1) {
            DrainSimulation.play(seeds.first(), draining, out::println);
        }
        seeds.seeds().parallel().forEach(seed -> count(DrainSimulation.play(seed, draining), out));
        out.printf(
                "%d seeds, %d broken; %d had a drain that went unheard; %d requests, %.1f%% of them"
                        + " sent%n",
                seeds.count(),
                broken.sum(),
                exercised.sum(),
                requests.sum(),
                PERCENT * (double) sent.sum() / Math.max(1, requests.sum()));
        if (broken.sum() > 0) {
            explain(firstBroken.get(), out);
        }
        out.flush();
        return broken.sum() == 0 && exercised.sum() > 0 ? 0 : Commands.EXIT_FAILURE;
    }

    private void count(Outcome run, PrintWriter out) {
        requests.add(run.requests());
        sent.add(run.sent());
        if (run.unheard() > 0) {
            exercised.increment();
        }
        if (!run.late().isEmpty()) {
            broken.increment();
            firstBroken.accumulateAndGet(run.seed(), Math::min);
        }
        if (played.incrementAndGet() % PROGRESS_EVERY == 0) {
            out.printf("%d of %d seeds, %d broken%n", played.get(), seeds.count(), broken.sum());
            out.flush();
        }
    }

    private void explain(long seed, PrintWriter out) {
        out.println("the first that broke the rule, seed " + seed + ":");
        DrainSimulation.play(seed, draining, out::println);
        out.printf(
                "again: java -jar target/passhatch-lab.jar watch --timeline --draining %s --seeds"
                        + " %d%n",
                draining, seed);
    }
}
