package passhatch.lab.fleet;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.LongUnaryOperator;
import java.util.stream.LongStream;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import passhatch.agent.config.InvalidInputException;
import passhatch.cli.CommandGroup;
import passhatch.fleet.Membership;
import passhatch.fleet.Status;
import passhatch.lab.Seeds;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code fleet}, which measures membership in simulated time. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Measures membership in simulated time; docs/membership.md says what it does.")
public final class FleetCommand extends CommandGroup {

    private static final long SECOND_US = 1_000_000;

    private FleetCommand() {}

    /** Creates the command line of {@code fleet} with all its subcommands. */
    public static CommandLine commandLine() {
        return new CommandLine(new FleetCommand())
                .addSubcommand(new Steady())
                .addSubcommand(new Detect())
                .addSubcommand(new Heal())
                .addSubcommand(new Cost())
                .addSubcommand(new Explore());
    }

    /** The options that all subcommands share. */
    private abstract static class Experiment implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--members",
                defaultValue = "100",
                description = "Default: ${DEFAULT-VALUE}.")
        private int members;

        @Option(
                names = "--loss",
                defaultValue = "0",
                description = "Share of datagrams lost, 0 to 0.9; default: ${DEFAULT-VALUE}.")
        private double loss;

        @Option(names = "--seed", defaultValue = "1", description = "The first seed.")
        private long seed;

        @Option(
                names = "--seeds",
                defaultValue = "1",
                description = "How many seeds, on all cores.")
        private int seeds;

        @Option(names = "--quiet", description = "No line of progress.")
        private boolean quiet;

        @Override
        public final Integer call() {
            if (members < 2 || members > Membership.MAX_MEMBERS) {
                throw new InvalidInputException(
                        "--members: expected 2 to " + Membership.MAX_MEMBERS);
            }
            if (!(loss >= 0 && loss <= 0.9)) {
                throw new InvalidInputException("--loss: expected 0 to 0.9");
            }
            if (seeds < 1) {
                throw new InvalidInputException("--seeds: expected 1 or more");
            }
            int status = measure(spec.commandLine().getOut());
            spec.commandLine().getOut().flush();
            return status;
        }

        abstract int measure(PrintWriter out);

        int members() {
            return members;
        }

        FleetSim.NetworkConditions networkConditions() {
            FleetSim.NetworkConditions reliable = FleetSim.NetworkConditions.RELIABLE;
            return new FleetSim.NetworkConditions(
                    loss, 0, 0, reliable.minDelayUs(), reliable.jitterUs());
        }

        /**
         * Starts a fleet on a reliable network, waits until its views converge, and then runs it
         * for 20 s under the network conditions that the options give.
         */
        FleetSim startConvergedFleet(long runSeed) {
            FleetSim sim = FleetSim.fleet(runSeed, members);
            sim.startAll();
            sim.runUntil(
                    () -> sim.viewsAgree() && sim.viewsAreAccurate(),
                    SECOND_US / 2,
                    120 * SECOND_US);
            sim.setNetworkConditions(networkConditions());
            sim.runFor(20 * SECOND_US);
            return sim;
        }

        /** Runs an experiment with each seed, on all cores. */
        void forEachSeed(LongUnaryOperator experiment) {
            if (quiet) {
                LongStream.range(seed, seed + seeds).parallel().forEach(experiment::applyAsLong);
                return;
            }
            try (ProgressBar bar =
                    new ProgressBarBuilder()
                            .setTaskName(spec.name())
                            .setInitialMax(seeds)
                            .setUnit(" seeds", 1)
                            .build()) {
                LongStream.range(seed, seed + seeds)
                        .parallel()
                        .forEach(
                                each -> {
                                    experiment.applyAsLong(each);
                                    bar.step();
                                });
            }
        }

        /**
         * Measures a duration with each seed and prints the median and the longest duration. The
         * experiment returns the duration in microseconds, or a negative value if it timed out.
         * Returns exit status 1 if the experiment timed out with at least one seed, and otherwise
         * 0.
         */
        int measureTimes(PrintWriter out, String description, LongUnaryOperator experiment) {
            List<Long> durationsUs = Collections.synchronizedList(new ArrayList<>());
            forEachSeed(
                    each -> {
                        long durationUs = experiment.applyAsLong(each);
                        durationsUs.add(durationUs < 0 ? Long.MAX_VALUE : durationUs);
                        return durationUs;
                    });
            Collections.sort(durationsUs);
            long unfinished =
                    durationsUs.stream().filter(durationUs -> durationUs == Long.MAX_VALUE).count();
            out.printf(
                    Locale.ROOT,
                    "%s: median %.2f s, worst %s, %d of %d never%n",
                    description,
                    durationsUs.get(durationsUs.size() / 2) * 1e-6,
                    unfinished > 0
                            ? "never"
                            : String.format(
                                    Locale.ROOT,
                                    "%.2f s",
                                    durationsUs.get(durationsUs.size() - 1) * 1e-6),
                    unfinished,
                    durationsUs.size());
            return unfinished == 0 ? 0 : 1;
        }
    }

    @Command(
            name = "steady",
            mixinStandardHelpOptions = true,
            description = "Nobody dies: counts suspicions and false failures.")
    private static final class Steady extends Experiment {
        @Option(
                names = "--minutes",
                defaultValue = "10",
                description = "Default: ${DEFAULT-VALUE}.")
        private int minutes;

        @Option(
                names = "--slow",
                defaultValue = "0",
                description =
                        "So many are held for up to a second, free for up to a second, held again,"
                                + " and so on.")
        private int slow;

        @Override
        int measure(PrintWriter out) {
            long[] counts = new long[4];
            forEachSeed(
                    runSeed -> {
                        FleetSim sim = startConvergedFleet(runSeed);
                        long[] runCounts = new long[2];
                        sim.setStatusListener(
                                (atUs, observer, before, after) -> {
                                    runCounts[0] += after.status() == Status.SUSPECT ? 1 : 0;
                                    runCounts[1] += after.status() == Status.FAILED ? 1 : 0;
                                });
                        for (int i = 0; i < slow; i++) {
                            sim.stopRepeatedly(i * members() / slow, SECOND_US, SECOND_US);
                        }
                        long before = sim.sentDatagrams();
                        sim.runFor(minutes * 60L * SECOND_US);
                        synchronized (counts) {
                            counts[0] += runCounts[0];
                            counts[1] += runCounts[1];
                            counts[2] += sim.sentDatagrams() - before;
                            counts[3]++;
                        }
                        return 0;
                    });
            out.printf(
                    Locale.ROOT,
                    "%d runs of %d min, %d members, %d slow: %d suspicions, %d false "
                            + "failures (by observer and member); %.1f datagrams/s a member%n",
                    counts[3],
                    minutes,
                    members(),
                    slow,
                    counts[0],
                    counts[1],
                    counts[2] / (60.0 * minutes * members() * counts[3]));
            return counts[1] == 0 ? 0 : 1;
        }
    }

    @Command(
            name = "detect",
            mixinStandardHelpOptions = true,
            description = "One is killed: the time until all others have it as failed.")
    private static final class Detect extends Experiment {
        @Override
        int measure(PrintWriter out) {
            return measureTimes(
                    out,
                    "killed, until known to all",
                    runSeed -> {
                        FleetSim sim = startConvergedFleet(runSeed);
                        int victim = new Seeds(runSeed).stream("victim").nextInt(members());
                        String name = "n" + victim;
                        boolean[] notified = new boolean[members()];
                        notified[victim] = true;
                        int[] remaining = {members() - 1};
                        sim.setStatusListener(
                                (atUs, observer, before, after) -> {
                                    if (after.name().equals(name)
                                            && after.status() == Status.FAILED
                                            && !notified[observer]) {
                                        notified[observer] = true;
                                        remaining[0]--;
                                    }
                                });
                        sim.kill(victim);
                        return sim.runUntil(
                                () -> remaining[0] == 0, SECOND_US / 20, 60 * SECOND_US);
                    });
        }
    }

    @Command(
            name = "heal",
            mixinStandardHelpOptions = true,
            description = "A partition heals after a while: the time until all views are the same.")
    private static final class Heal extends Experiment {
        @Option(names = "--parts", defaultValue = "2", description = "Default: ${DEFAULT-VALUE}.")
        private int parts;

        @Option(
                names = "--seconds",
                defaultValue = "60",
                description = "How long it lasts; default: ${DEFAULT-VALUE}.")
        private int seconds;

        @Override
        int measure(PrintWriter out) {
            if (parts < 2) {
                throw new InvalidInputException("--parts: expected 2 or more");
            }
            return measureTimes(
                    out,
                    "healed, until views are the same",
                    runSeed -> {
                        FleetSim sim = startConvergedFleet(runSeed);
                        sim.setConnectivity((a, b) -> a % parts == b % parts);
                        sim.runFor(seconds * SECOND_US);
                        sim.setConnectivity((a, b) -> true);
                        return sim.runUntil(
                                () -> sim.viewsAgree() && sim.viewsAreAccurate(),
                                SECOND_US / 4,
                                300 * SECOND_US);
                    });
        }
    }

    @Command(
            name = "cost",
            mixinStandardHelpOptions = true,
            description =
                    "What members send while nothing happens, from 10 members up to as many as"
                            + " given.")
    private static final class Cost extends Experiment {
        private static final int[] SIZES = {10, 30, 100, 300, 1000, 2000, 4000, 8000, 19_000};

        @Override
        int measure(PrintWriter out) {
            for (int size : SIZES) {
                if (size <= members()) {
                    FleetSim sim = FleetSim.fleet(1, size);
                    // If the fleet started without converged views, it would send n^2 member
                    // updates, which takes minutes.
                    sim.startAllConverged();
                    sim.setNetworkConditions(networkConditions());
                    sim.runFor(60 * SECOND_US);
                    long datagrams = sim.sentDatagrams();
                    long bytes = totalSentBytes(sim);
                    sim.runFor(60 * SECOND_US);
                    out.printf(
                            Locale.ROOT,
                            "%5d members: %7.1f bytes/s and %5.2f datagrams/s a member%n",
                            size,
                            (totalSentBytes(sim) - bytes) / 60.0 / size,
                            (sim.sentDatagrams() - datagrams) / 60.0 / size);
                    out.flush();
                }
            }
            return 0;
        }

        private static long totalSentBytes(FleetSim sim) {
            long sum = 0;
            for (int i = 0; i < sim.size(); i++) {
                Membership.Metrics metrics = sim.metrics(i);
                sum += metrics.sentBytes();
            }
            return sum;
        }
    }

    @Command(
            name = "explore",
            mixinStandardHelpOptions = true,
            description = "Random faults by seed against what must hold; bad seeds are shrunk.")
    private static final class Explore extends Experiment {
        @Override
        int measure(PrintWriter out) {
            FleetExplorer explorer = new FleetExplorer(members());
            ConcurrentSkipListMap<Long, String> violations = new ConcurrentSkipListMap<>();
            int status =
                    measureTimes(
                            out,
                            "after the last fault, until views are the same",
                            runSeed -> {
                                List<FleetFault> faults = explorer.drawFaults(runSeed);
                                FleetExplorer.Outcome outcome = explorer.run(runSeed, faults);
                                if (outcome.violation() != null) {
                                    violations.put(
                                            runSeed,
                                            outcome.violation()
                                                    + "; with "
                                                    + explorer.shrink(runSeed, faults));
                                }
                                return outcome.convergenceUs();
                            });
            violations.forEach(
                    (runSeed, violation) -> out.println("seed " + runSeed + ": " + violation));
            return violations.isEmpty() ? status : 1;
        }
    }
}
