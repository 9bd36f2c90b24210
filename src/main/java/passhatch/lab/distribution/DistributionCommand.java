package passhatch.lab.distribution;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import passhatch.cli.Commands;
import passhatch.lab.distribution.RandomRun.Outcome;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command {@code distribution}, which simulates the distribution of configuration changes with
 * random faults. The seed of a run determines its faults.
 */
@Command(
        name = "distribution",
        mixinStandardHelpOptions = true,
        description =
                "Plays the distribution of changes with random faults, by seed;"
                        + " docs/distribution.md says what has to hold.")
public final class DistributionCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(
            names = "--seeds",
            defaultValue = "1000",
            description = "How many; default: ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(names = "--first-seed", defaultValue = "0", description = "Default: ${DEFAULT-VALUE}.")
    private long firstSeed;

    @Override
    public Integer call() {
        if (seeds < 1 || firstSeed < 0) {
            throw new ParameterException(
                    spec.commandLine(), "expected at least 1 seed, the first not negative");
        }
        PrintWriter out = spec.commandLine().getOut();
        List<Outcome> outcomes =
                LongStream.range(firstSeed, firstSeed + seeds)
                        .parallel()
                        .mapToObj(seed -> runSeed(seed, out))
                        .toList();
        List<Outcome> failed = outcomes.stream().filter(run -> run.violation() != null).toList();
        out.println(
                seeds
                        + " seeds, "
                        + failed.size()
                        + " broken, "
                        + outcomes.stream().mapToLong(Outcome::submitted).sum()
                        + " changes submitted, "
                        + outcomes.stream().mapToLong(Outcome::reported).sum()
                        + " reported as made");
        out.flush();
        return failed.isEmpty() ? 0 : Commands.EXIT_FAILURE;
    }

    private static Outcome runSeed(long seed, PrintWriter out) {
        Outcome outcome = RandomRun.run(seed);
        if (outcome.violation() != null) {
            out.println("seed " + seed + ": " + outcome.violation());
            out.flush();
        }
        return outcome;
    }
}
