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

/** The command {@code duty}: checks the state machines of the duties. */
@Command(
        name = "duty",
        mixinStandardHelpOptions = true,
        description =
                "Checks the state machines of the duties; docs/duties.md describes what must hold.")
public final class DutyCommand extends CommandGroup {

    private DutyCommand() {}

    /** Returns the command with its subcommands. */
    public static CommandLine createCommandLine() {
        return new CommandLine(new DutyCommand())
                .addSubcommand(new Check())
                .addSubcommand(new Random());
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Explores every sequence of a few steps of three voters and two candidates.")
    private static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--depth",
                defaultValue = "10",
                description = "Maximum number of steps; default: ${DEFAULT-VALUE}.")
        private int depth;

        @Option(
                names = "--ticks",
                defaultValue = "3",
                description = "Maximum number of half leases that pass; default: ${DEFAULT-VALUE}.")
        private int ticks;

        @Option(
                names = "--crashes",
                defaultValue = "1",
                description = "Maximum number of crashes; default: ${DEFAULT-VALUE}.")
        private int crashes;

        @Option(
                names = "--copies",
                defaultValue = "1",
                description =
                        "Maximum number of messages that arrive twice; default: ${DEFAULT-VALUE}.")
        private int copies;

        @Override
        public Integer call() {
            DutyChecker.Result result =
                    new DutyChecker(StateMachineFactory.PRODUCTION, depth, ticks, crashes, copies)
                            .run();
            PrintWriter out = spec.commandLine().getOut();
            out.println(
                    result.states()
                            + " states, "
                            + (result.violation() == null
                                    ? "nothing is broken"
                                    : "BROKEN: " + result.violation()));
            out.flush();
            return result.violation() == null ? 0 : Commands.EXIT_FAILURE;
        }
    }

    @Command(
            name = "random",
            mixinStandardHelpOptions = true,
            description =
                    "Simulates voters and candidates with random faults, one run for each seed.")
    private static final class Random implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--seeds",
                defaultValue = "1000",
                description = "Number of seeds, from 0; default: ${DEFAULT-VALUE}.")
        private int seeds;

        @Option(
                names = "--voters",
                defaultValue = "5",
                description = "Number of voters; default: ${DEFAULT-VALUE}.")
        private int voters;

        @Option(
                names = "--candidates",
                defaultValue = "4",
                description = "Number of candidates; default: ${DEFAULT-VALUE}.")
        private int candidates;

        @Option(
                names = "--drift",
                defaultValue = "0.01",
                description = "Maximum clock drift allowed; default: ${DEFAULT-VALUE}.")
        private double drift;

        @Option(
                names = "--real-drift",
                defaultValue = "0.01",
                description = "Maximum drift that clocks have; default: ${DEFAULT-VALUE}.")
        private double realDrift;

        @Override
        public Integer call() {
            Shape shape = new Shape(voters, candidates, 15, drift, realDrift);
            PrintWriter out = spec.commandLine().getOut();
            List<RunResult> results =
                    LongStream.range(0, seeds)
                            .parallel()
                            .mapToObj(
                                    seed -> {
                                        RunResult result =
                                                DutySim.simulate(
                                                        StateMachineFactory.PRODUCTION,
                                                        shape,
                                                        seed);
                                        if (result.violation() != null) {
                                            out.println("seed " + seed + ": " + result.violation());
                                        }
                                        return result;
                                    })
                            .toList();
            List<Long> gaps = results.stream().flatMap(o -> o.gapsUs().stream()).sorted().toList();
            long violations = results.stream().filter(o -> o.violation() != null).count();
            out.printf(
                    Locale.ROOT,
                    "%d seeds, %d broken, %d changes of holder, %d moments with two acting%n",
                    seeds,
                    violations,
                    results.stream().mapToInt(RunResult::holderChanges).sum(),
                    results.stream().mapToInt(RunResult::overlaps).sum());
            if (!gaps.isEmpty()) {
                out.printf(
                        Locale.ROOT,
                        "without a holder: median %.3f s, 99 %% %.3f s, worst %.3f s%n",
                        gaps.get(gaps.size() / 2) * 1e-6,
                        gaps.get(gaps.size() * 99 / 100) * 1e-6,
                        gaps.get(gaps.size() - 1) * 1e-6);
            }
            out.flush();
            return violations == 0 ? 0 : Commands.EXIT_FAILURE;
        }
    }
}
