package passhatch.lab.duty;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import passhatch.cli.CommandGroup;
import passhatch.cli.Commands;
import passhatch.lab.duty.DutySim.RunResult;
import passhatch.lab.duty.DutySim.Shape;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code duty}: checks the duties' state machines. */
@Command(
        name = "duty",
        mixinStandardHelpOptions = true,
        description =
                "Checks the state machines of the duties; docs/duties.md says what has to hold.")
public final class DutyCommand extends CommandGroup {

    private DutyCommand() {}

    /** The command with its own commands. */
    public static CommandLine line() {
        return new CommandLine(new DutyCommand())
                .addSubcommand(new Check())
                .addSubcommand(new Random());
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Explores every order of a few steps of three voters and two candidates.")
    private static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--depth",
                defaultValue = "10",
                description = "Steps; default: ${DEFAULT-VALUE}.")
        private int depth;

        @Option(
                names = "--ticks",
                defaultValue = "3",
                description = "Half leases that pass at most; default: ${DEFAULT-VALUE}.")
        private int ticks;

        @Option(
                names = "--crashes",
                defaultValue = "1",
                description = "At most; default: ${DEFAULT-VALUE}.")
        private int crashes;

        @Option(
                names = "--copies",
                defaultValue = "1",
                description = "Messages that arrive twice at most; default: ${DEFAULT-VALUE}.")
        private int copies;

        @Override
        public Integer call() {
            DutyChecker.Result found =
                    new DutyChecker(StateMachineFactory.PRODUCTION, depth, ticks, crashes, copies)
                            .run();
            PrintWriter out = spec.commandLine().getOut();
            out.println(
                    found.states()
                            + " states, "
                            + (found.violation() == null
                                    ? "nothing is broken"
                                    : "BROKEN: " + found.violation()));
            out.flush();
            return found.violation() == null ? 0 : Commands.EXIT_FAILURE;
        }
    }

    @Command(
            name = "random",
            mixinStandardHelpOptions = true,
            description = "Plays voters and candidates with random faults, by seed.")
    private static final class Random implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--seeds",
                defaultValue = "1000",
                description = "Default: ${DEFAULT-VALUE}.")
        private int seeds;

        @Option(names = "--voters", defaultValue = "5", description = "Default: ${DEFAULT-VALUE}.")
        private int voters;

        @Option(
                names = "--candidates",
                defaultValue = "4",
                description = "Default: ${DEFAULT-VALUE}.")
        private int candidates;

        @Option(
                names = "--drift",
                defaultValue = "0.01",
                description = "Allowed by the configuration; default: ${DEFAULT-VALUE}.")
        private double drift;

        @Option(
                names = "--real-drift",
                defaultValue = "0.01",
                description = "That clocks have; default: ${DEFAULT-VALUE}.")
        private double realDrift;

        @Override
        public Integer call() {
            Shape shape = new Shape(voters, candidates, 15, drift, realDrift);
            PrintWriter out = spec.commandLine().getOut();
            List<RunResult> all =
                    LongStream.range(0, seeds)
                            .parallel()
                            .mapToObj(
                                    seed -> {
                                        RunResult outcome =
                                                DutySim.simulate(
                                                        StateMachineFactory.PRODUCTION,
                                                        shape,
                                                        seed);
                                        if (outcome.violation() != null) {
                                            out.println(
                                                    "seed " + seed + ": " + outcome.violation());
                                        }
                                        return outcome;
                                    })
                            .toList();
            List<Long> gaps = all.stream().flatMap(o -> o.gapsUs().stream()).sorted().toList();
            long broken = all.stream().filter(o -> o.violation() != null).count();
            out.printf(
                    Locale.ROOT,
                    "%d seeds, %d broken, %d changes of holder, %d moments with two acting%n",
                    seeds,
                    broken,
                    all.stream().mapToInt(RunResult::holderChanges).sum(),
                    all.stream().mapToInt(RunResult::overlaps).sum());
            if (!gaps.isEmpty()) {
                out.printf(
                        Locale.ROOT,
                        "without a holder: median %.3f s, 99 %% %.3f s, worst %.3f s%n",
                        gaps.get(gaps.size() / 2) * 1e-6,
                        gaps.get(gaps.size() * 99 / 100) * 1e-6,
                        gaps.get(gaps.size() - 1) * 1e-6);
            }
            out.flush();
            return broken == 0 ? 0 : Commands.EXIT_FAILURE;
        }
    }
}
