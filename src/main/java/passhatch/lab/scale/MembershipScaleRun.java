package passhatch.lab.scale;

import static passhatch.lab.scale.MembershipTrial.SECOND_US;

import java.util.List;
import java.util.concurrent.TimeoutException;
import passhatch.fleet.Status;
import passhatch.lab.fleet.FleetSim;
import passhatch.lab.scale.MembershipScaleResult.Figure;
import passhatch.lab.scale.MembershipScaleResult.Outcome;
import passhatch.lab.scale.MembershipTrial.Traffic;

/**
 * Plays the scenarios at one size.
 *
 * @param bytesPerSecond that a process sends at most
 * @param loss share of datagrams lost in the scenario with loss
 * @param seconds simulated, in scenarios that measure over a time
 * @param cutSeconds simulated, for which a region is cut off
 * @param wallSeconds real time that a scenario may take
 */
record MembershipScaleRun(
        long seed,
        int members,
        long bytesPerSecond,
        double loss,
        int seconds,
        int cutSeconds,
        long wallSeconds) {

    /** Machines that fail and processes that restart, in the whole fleet in a day. */
    private static final int FAILURES_A_DAY = 35;

    private static final int RESTARTS_A_DAY = 1_800;
    private static final double DAY_SECONDS = 86_400;

    /** Churn comes so many times as fast as in the real fleet, to be seen in a short run. */
    private static final int CHURN_FACTOR = 20;

    private static final int ZONES = 25;
    private static final int REGIONS = 7;
    private static final int RESTARTED = 10;
    private static final long DOWN_US = 2 * SECOND_US;

    /** What other processes thought, counted by observer and member. */
    private static final class Counts {
        private long suspicions;
        private long falseFailures;
    }

    /** Plays a scenario; where it takes too long, the outcome says so and has no figures. */
    Outcome play(MembershipScenario scenario) {
        long begun = System.nanoTime();
        List<Figure> figures = List.of();
        String problem = null;
        try {
            figures = figures(scenario);
        } catch (TimeoutException late) {
            problem = late.getMessage();
        }
        return new Outcome(scenario, figures, (System.nanoTime() - begun) / 1e9, problem);
    }

    private List<Figure> figures(MembershipScenario scenario) throws TimeoutException {
        if (scenario == MembershipScenario.MEMORY) {
            return List.of(
                    new Figure(
                            "memory a member known",
                            "bytes",
                            MembershipMemory.bytesPerMember(members)));
        }
        MembershipTrial trial = new MembershipTrial(seed, members, bytesPerSecond, wallSeconds);
        return switch (scenario) {
            case MEMORY -> List.of();
            case REST -> traffic("at rest", trial.traffic(seconds));
            case CHURN -> churn(trial);
            case LOSS -> loss(trial);
            case DEATH -> killed(trial, 1, "death");
            case REJOIN -> rejoin(trial);
            case ZONE -> killed(trial, Math.max(1, members / ZONES), "zone");
            case TENTH -> tenth(trial);
            case REGION -> region(trial);
        };
    }

    private static List<Figure> traffic(String when, Traffic traffic) {
        return List.of(
                new Figure("sent " + when, "bytes/s", traffic.bytesPerSecond()),
                new Figure("datagrams " + when, "1/s", traffic.datagramsPerSecond()),
                new Figure("processor " + when, "us/s", traffic.processorMicrosPerSecond()));
    }

    private static Figure bytes(String name, Traffic traffic) {
        return new Figure(name, "bytes/s", traffic.bytesPerSecond());
    }

    private List<Figure> churn(MembershipTrial trial) throws TimeoutException {
        FleetSim sim = trial.sim();
        Traffic rest = trial.traffic(seconds);
        double everySeconds = DAY_SECONDS / (FAILURES_A_DAY + RESTARTS_A_DAY) / CHURN_FACTOR;
        int events = (int) (seconds / everySeconds);
        int failures = Math.round((float) events * FAILURES_A_DAY / RESTARTS_A_DAY);
        for (int i = 0; i < events; i++) {
            int number = (int) ((long) i * members / Math.max(1, events));
            boolean fails = i < failures;
            sim.after(
                    (long) (i * everySeconds * SECOND_US),
                    () -> {
                        if (fails) {
                            sim.kill(number);
                        } else {
                            restart(sim, number);
                        }
                    });
        }
        Traffic fast = trial.traffic(seconds);
        double real =
                rest.bytesPerSecond()
                        + (fast.bytesPerSecond() - rest.bytesPerSecond()) / CHURN_FACTOR;
        return List.of(
                bytes("sent with churn " + CHURN_FACTOR + " times as fast", fast),
                new Figure("sent with the fleet's churn", "bytes/s", real),
                new Figure(
                        "processor with churn " + CHURN_FACTOR + " times as fast",
                        "us/s",
                        fast.processorMicrosPerSecond()));
    }

    private static void restart(FleetSim sim, int number) {
        sim.leave(number);
        sim.after(DOWN_US, () -> sim.start(number));
    }

    private List<Figure> loss(MembershipTrial trial) throws TimeoutException {
        FleetSim.Network fair = FleetSim.Network.FAIR;
        Counts counts = watch(trial.sim(), 0, 0);
        trial.sim().network(new FleetSim.Network(loss, 0, 0, fair.delayUs(), fair.jitterUs()));
        Traffic traffic = trial.traffic(seconds);
        return List.of(
                new Figure("false failures with loss", "in all views", counts.falseFailures),
                new Figure("suspicions with loss", "in all views", counts.suspicions),
                bytes("sent with loss", traffic),
                new Figure("processor with loss", "us/s", traffic.processorMicrosPerSecond()));
    }

    private List<Figure> killed(MembershipTrial trial, int count, String what)
            throws TimeoutException {
        FleetSim sim = trial.sim();
        Counts counts = watch(sim, 0, count);
        long bytes = sim.bytes();
        for (int i = 0; i < count; i++) {
            sim.kill(i);
        }
        double took = trial.until(() -> trial.allSee(members - count));
        return recovery(what + ", until all know", took, counts, sim.bytes() - bytes);
    }

    private List<Figure> rejoin(MembershipTrial trial) throws TimeoutException {
        FleetSim sim = trial.sim();
        restart(sim, 0);
        trial.until(() -> !sim.runs(0));
        trial.until(() -> sim.runs(0));
        double took = trial.until(() -> sim.present(0) == members);
        return List.of(
                new Figure("restart, until it knows all", "s", took),
                new Figure(
                        "restart, its own bytes meanwhile", "bytes", sim.figures(0).sentBytes()));
    }

    private List<Figure> tenth(MembershipTrial trial) throws TimeoutException {
        FleetSim sim = trial.sim();
        int count = Math.max(1, members / RESTARTED);
        Counts counts = watch(sim, 0, count);
        long bytes = sim.bytes();
        for (int i = 0; i < count; i++) {
            int number = i;
            sim.kill(number);
            sim.after(DOWN_US, () -> sim.start(number));
        }
        trial.run(DOWN_US + SECOND_US);
        double took = 1 + trial.until(() -> trial.allSee(members) && sim.agree());
        return recovery("a tenth restarted, until views agree", took, counts, sim.bytes() - bytes);
    }

    private List<Figure> region(MembershipTrial trial) throws TimeoutException {
        FleetSim sim = trial.sim();
        int count = Math.max(1, members / REGIONS);
        Counts counts = watch(sim, count, 0);
        sim.connected((a, b) -> a < count == b < count);
        trial.run(cutSeconds * SECOND_US);
        sim.connected((a, b) -> true);
        long bytes = sim.bytes();
        double took = trial.until(() -> trial.allSee(members) && sim.agree());
        return recovery("region back, until views agree", took, counts, sim.bytes() - bytes);
    }

    private List<Figure> recovery(String what, double seconds, Counts counts, long bytes) {
        double perMember = (double) bytes / members / Math.max(1, seconds);
        return List.of(
                new Figure(what, "s", seconds),
                new Figure(what + ": sent", "bytes/s", perMember),
                new Figure(what + ": false failures", "in all views", counts.falseFailures));
    }

    /**
     * Counts from now on what is thought of members, but across a cut that parts the first ones
     * from the others, and but of the first ones that are killed.
     */
    private static Counts watch(FleetSim sim, int cut, int killed) {
        Counts counts = new Counts();
        sim.watcher(
                (us, observer, before, after) -> {
                    int member = Integer.parseInt(after.name().substring(1));
                    boolean expected = member < killed || member < cut != observer < cut;
                    if (expected) {
                        return;
                    }
                    counts.suspicions += after.status() == Status.SUSPECT ? 1 : 0;
                    counts.falseFailures += after.status() == Status.FAILED ? 1 : 0;
                });
        return counts;
    }
}
