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

/** The command {@code fleet}: measures membership in simulated time. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Measures membership in simulated time; docs/membership.md says what it does.")
public final class FleetCommand extends CommandGroup {

    private static final long SECOND = 1_000_000;

    private FleetCommand() {}

    /** The command with its own commands. */
    public static CommandLine line() {
        return new CommandLine(new FleetCommand())
                .addSubcommand(new Steady())
                .addSubcommand(new Detect())
                .addSubcommand(new Heal())
                .addSubcommand(new Cost())
                .addSubcommand(new Explore());
    }

    /** What all of them take. */
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

        FleetSim.Network network() {
            FleetSim.Network fair = FleetSim.Network.FAIR;
            return new FleetSim.Network(loss, 0, 0, fair.delayUs(), fair.jitterUs());
        }

        /**
         * A fleet that has started on a fair network, agrees, and then has had the wanted one for a
         * while.
         */
        FleetSim fleet(long of) {
            FleetSim sim = FleetSim.fleet(of, members);
            sim.startAll();
            sim.until(() -> sim.agree() && sim.settled(), SECOND / 2, 120 * SECOND);
            sim.network(network());
            sim.run(20 * SECOND);
            return sim;
        }

        /** Does something with each seed, on all cores. */
        void each(LongUnaryOperator work) {
            if (quiet) {
                LongStream.range(seed, seed + seeds).parallel().forEach(work::applyAsLong);
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
                                s -> {
                                    work.applyAsLong(s);
                                    bar.step();
                                });
            }
        }

        /** Times of all seeds, told by median and worst; 1 where one never came. */
        int times(PrintWriter out, String what, LongUnaryOperator work) {
            List<Long> all = Collections.synchronizedList(new ArrayList<>());
            each(
                    s -> {
                        long us = work.applyAsLong(s);
                        all.add(us < 0 ? Long.MAX_VALUE : us);
                        return us;
                    });
            Collections.sort(all);
            long never = all.stream().filter(us -> us == Long.MAX_VALUE).count();
            out.printf(
                    Locale.ROOT,
                    "%s: median %.2f s, worst %s, %d of %d never%n",
                    what,
                    all.get(all.size() / 2) * 1e-6,
                    never > 0
                            ? "never"
                            : String.format(Locale.ROOT, "%.2f s", all.get(all.size() - 1) * 1e-6),
                    never,
                    all.size());
            return never == 0 ? 0 : 1;
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
            each(
                    s -> {
                        FleetSim sim = fleet(s);
                        long[] own = new long[2];
                        sim.watcher(
                                (us, observer, before, after) -> {
                                    own[0] += after.status() == Status.SUSPECT ? 1 : 0;
                                    own[1] += after.status() == Status.FAILED ? 1 : 0;
                                });
                        for (int i = 0; i < slow; i++) {
                            sim.slow(i * members() / slow, SECOND, SECOND);
                        }
                        long before = sim.datagrams();
                        sim.run(minutes * 60L * SECOND);
                        synchronized (counts) {
                            counts[0] += own[0];
                            counts[1] += own[1];
                            counts[2] += sim.datagrams() - before;
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
            return times(
                    out,
                    "killed, until known to all",
                    s -> {
                        FleetSim sim = fleet(s);
                        int victim = new Seeds(s).stream("victim").nextInt(members());
                        String name = "n" + victim;
                        boolean[] knows = new boolean[members()];
                        knows[victim] = true;
                        int[] left = {members() - 1};
                        sim.watcher(
                                (us, observer, before, after) -> {
                                    if (after.name().equals(name)
                                            && after.status() == Status.FAILED
                                            && !knows[observer]) {
                                        knows[observer] = true;
                                        left[0]--;
                                    }
                                });
                        sim.kill(victim);
                        return sim.until(() -> left[0] == 0, SECOND / 20, 60 * SECOND);
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
            return times(
                    out,
                    "healed, until views are the same",
                    s -> {
                        FleetSim sim = fleet(s);
                        sim.connected((a, b) -> a % parts == b % parts);
                        sim.run(seconds * SECOND);
                        sim.connected((a, b) -> true);
                        return sim.until(
                                () -> sim.agree() && sim.settled(), SECOND / 4, 300 * SECOND);
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
                    // Else the news of the start is under way for minutes, and costs what n^2 facts
                    // do.
                    sim.startAllAgreed();
                    sim.network(network());
                    sim.run(60 * SECOND);
                    long datagrams = sim.datagrams();
                    long bytes = bytes(sim);
                    sim.run(60 * SECOND);
                    out.printf(
                            Locale.ROOT,
                            "%5d members: %7.1f bytes/s and %5.2f datagrams/s a member%n",
                            size,
                            (bytes(sim) - bytes) / 60.0 / size,
                            (sim.datagrams() - datagrams) / 60.0 / size);
                    out.flush();
                }
            }
            return 0;
        }

        private static long bytes(FleetSim sim) {
            long sum = 0;
            for (int i = 0; i < sim.size(); i++) {
                Membership.Metrics figures = sim.figures(i);
                sum += figures.sentBytes();
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
            ConcurrentSkipListMap<Long, String> broken = new ConcurrentSkipListMap<>();
            int status =
                    times(
                            out,
                            "after the last fault, until views are the same",
                            s -> {
                                List<FleetFault> faults = explorer.draw(s);
                                FleetExplorer.Outcome outcome = explorer.play(s, faults);
                                if (outcome.broken() != null) {
                                    broken.put(
                                            s,
                                            outcome.broken()
                                                    + "; with "
                                                    + explorer.shrink(s, faults));
                                }
                                return outcome.agreedUs();
                            });
            broken.forEach((s, what) -> out.println("seed " + s + ": " + what));
            return broken.isEmpty() ? status : 1;
        }
    }
}
