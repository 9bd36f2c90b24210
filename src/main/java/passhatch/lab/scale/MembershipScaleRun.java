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
 * Runs scenarios of {@code scale membership} at one fleet size.
 *
 * @param bytesPerSecond limit of the bytes a second that each process sends
 * @param loss fraction of datagrams lost in the scenario {@code LOSS}
 * @param simulatedSeconds simulated time in seconds of each measurement in {@code REST}, {@code
 *     CHURN} and {@code LOSS}
 * @param partitionSeconds simulated time in seconds for which a region is partitioned from the
 *     others
 * @param wallSeconds limit in seconds of the real time that each scenario may take
 */
record MembershipScaleRun(
        long seed,
        int members,
        long bytesPerSecond,
        double loss,
        int simulatedSeconds,
        int partitionSeconds,
        long wallSeconds) {

    /** Number of machines that fail in a day in the whole real fleet. */
    private static final int FAILURES_PER_DAY = 35;

    /** Number of processes that restart in a day in the whole real fleet. */
    private static final int RESTARTS_PER_DAY = 1_800;

    private static final double SECONDS_PER_DAY = 86_400;

    /**
     * Factor by which failures and restarts are more frequent in the simulation than in the real
     * fleet. It makes their cost visible in a short run.
     */
    private static final int CHURN_FACTOR = 20;

    private static final int ZONES = 25;
    private static final int REGIONS = 7;

    /** One member in this many is restarted. */
    private static final int RESTARTED_DIVISOR = 10;

    private static final long RESTART_DOWNTIME_US = 2 * SECOND_US;

    /**
     * Numbers of unexpected suspicions and of unexpected failures, each added up over all members
     * that observe them.
     */
    private static final class FalseAlarms {
        private long suspicions;
        private long falseFailures;
    }

    /**
     * Runs a scenario. If it takes longer than {@code wallSeconds}, the outcome contains a
     * description of the problem and no figures.
     */
    Outcome run(MembershipScenario scenario) {
        long startNs = System.nanoTime();
        List<Figure> figures = List.of();
        String problem = null;
        try {
            figures = measure(scenario);
        } catch (TimeoutException timeout) {
            problem = timeout.getMessage();
        }
        return new Outcome(scenario, figures, (System.nanoTime() - startNs) / 1e9, problem);
    }

    private List<Figure> measure(MembershipScenario scenario) throws TimeoutException {
        if (scenario == MembershipScenario.MEMORY) {
            return List.of(
                    new Figure(
                            "memory a member known",
                            "bytes",
                            MembershipMemory.measureBytesPerMember(members)));
        }
        MembershipTrial trial = new MembershipTrial(seed, members, bytesPerSecond, wallSeconds);
        return switch (scenario) {
            case MEMORY -> List.of();
            case REST -> createTrafficFigures("at rest", trial.measureTraffic(simulatedSeconds));
            case CHURN -> measureChurn(trial);
            case LOSS -> measureLoss(trial);
            case DEATH -> measureKill(trial, 1, "death");
            case REJOIN -> measureRejoin(trial);
            case ZONE -> measureKill(trial, Math.max(1, members / ZONES), "zone");
            case TENTH -> measureMassRestart(trial);
            case REGION -> measureRegionPartition(trial);
        };
    }

    private static List<Figure> createTrafficFigures(String label, Traffic traffic) {
        return List.of(
                new Figure("sent " + label, "bytes/s", traffic.bytesPerSecond()),
                new Figure("datagrams " + label, "1/s", traffic.datagramsPerSecond()),
                new Figure("processor " + label, "us/s", traffic.processorMicrosPerSecond()));
    }

    private static Figure createBytesPerSecondFigure(String name, Traffic traffic) {
        return new Figure(name, "bytes/s", traffic.bytesPerSecond());
    }

    private List<Figure> measureChurn(MembershipTrial trial) throws TimeoutException {
        FleetSim sim = trial.sim();
        Traffic idleTraffic = trial.measureTraffic(simulatedSeconds);
        double intervalSeconds =
                SECONDS_PER_DAY / (FAILURES_PER_DAY + RESTARTS_PER_DAY) / CHURN_FACTOR;
        int events = (int) (simulatedSeconds / intervalSeconds);
        int failures = Math.round((float) events * FAILURES_PER_DAY / RESTARTS_PER_DAY);
        for (int i = 0; i < events; i++) {
            int number = (int) ((long) i * members / Math.max(1, events));
            boolean fails = i < failures;
            sim.scheduleAfter(
                    (long) (i * intervalSeconds * SECOND_US),
                    () -> {
                        if (fails) {
                            sim.kill(number);
                        } else {
                            restart(sim, number);
                        }
                    });
        }
        Traffic churnTraffic = trial.measureTraffic(simulatedSeconds);
        double fleetBytesPerSecond =
                idleTraffic.bytesPerSecond()
                        + (churnTraffic.bytesPerSecond() - idleTraffic.bytesPerSecond())
                                / CHURN_FACTOR;
        return List.of(
                createBytesPerSecondFigure(
                        "sent with churn " + CHURN_FACTOR + " times as fast", churnTraffic),
                new Figure("sent with the fleet's churn", "bytes/s", fleetBytesPerSecond),
                new Figure(
                        "processor with churn " + CHURN_FACTOR + " times as fast",
                        "us/s",
                        churnTraffic.processorMicrosPerSecond()));
    }

    private static void restart(FleetSim sim, int number) {
        sim.leave(number);
        sim.scheduleAfter(RESTART_DOWNTIME_US, () -> sim.start(number));
    }

    private List<Figure> measureLoss(MembershipTrial trial) throws TimeoutException {
        FleetSim.NetworkConditions lossless = FleetSim.NetworkConditions.RELIABLE;
        FalseAlarms falseAlarms = countFalseAlarms(trial.sim(), 0, 0);
        trial.sim()
                .setNetworkConditions(
                        new FleetSim.NetworkConditions(
                                loss, 0, 0, lossless.minDelayUs(), lossless.jitterUs()));
        Traffic traffic = trial.measureTraffic(simulatedSeconds);
        return List.of(
                new Figure("false failures with loss", "in all views", falseAlarms.falseFailures),
                new Figure("suspicions with loss", "in all views", falseAlarms.suspicions),
                createBytesPerSecondFigure("sent with loss", traffic),
                new Figure("processor with loss", "us/s", traffic.processorMicrosPerSecond()));
    }

    private List<Figure> measureKill(MembershipTrial trial, int count, String label)
            throws TimeoutException {
        FleetSim sim = trial.sim();
        FalseAlarms falseAlarms = countFalseAlarms(sim, 0, count);
        long bytesBefore = sim.sentBytes();
        for (int i = 0; i < count; i++) {
            sim.kill(i);
        }
        double elapsedSeconds = trial.advanceUntil(() -> trial.allProcessesSee(members - count));
        return createRecoveryFigures(
                label + ", until all know",
                elapsedSeconds,
                falseAlarms,
                sim.sentBytes() - bytesBefore);
    }

    private List<Figure> measureRejoin(MembershipTrial trial) throws TimeoutException {
        FleetSim sim = trial.sim();
        restart(sim, 0);
        trial.advanceUntil(() -> !sim.isRunning(0));
        trial.advanceUntil(() -> sim.isRunning(0));
        double elapsedSeconds = trial.advanceUntil(() -> sim.presentCount(0) == members);
        return List.of(
                new Figure("restart, until it knows all", "s", elapsedSeconds),
                new Figure(
                        "restart, its own bytes meanwhile", "bytes", sim.metrics(0).sentBytes()));
    }

    private List<Figure> measureMassRestart(MembershipTrial trial) throws TimeoutException {
        FleetSim sim = trial.sim();
        int count = Math.max(1, members / RESTARTED_DIVISOR);
        FalseAlarms falseAlarms = countFalseAlarms(sim, 0, count);
        long bytesBefore = sim.sentBytes();
        for (int i = 0; i < count; i++) {
            int number = i;
            sim.kill(number);
            sim.scheduleAfter(RESTART_DOWNTIME_US, () -> sim.start(number));
        }
        trial.advance(RESTART_DOWNTIME_US + SECOND_US);
        double elapsedSeconds =
                1 + trial.advanceUntil(() -> trial.allProcessesSee(members) && sim.viewsAgree());
        return createRecoveryFigures(
                "a tenth restarted, until views agree",
                elapsedSeconds,
                falseAlarms,
                sim.sentBytes() - bytesBefore);
    }

    private List<Figure> measureRegionPartition(MembershipTrial trial) throws TimeoutException {
        FleetSim sim = trial.sim();
        int count = Math.max(1, members / REGIONS);
        FalseAlarms falseAlarms = countFalseAlarms(sim, count, 0);
        sim.setConnectivity((a, b) -> a < count == b < count);
        trial.advance(partitionSeconds * SECOND_US);
        sim.setConnectivity((a, b) -> true);
        long bytesBefore = sim.sentBytes();
        double elapsedSeconds =
                trial.advanceUntil(() -> trial.allProcessesSee(members) && sim.viewsAgree());
        return createRecoveryFigures(
                "region back, until views agree",
                elapsedSeconds,
                falseAlarms,
                sim.sentBytes() - bytesBefore);
    }

    private List<Figure> createRecoveryFigures(
            String label, double elapsedSeconds, FalseAlarms falseAlarms, long bytes) {
        double bytesPerMemberSecond = (double) bytes / members / Math.max(1, elapsedSeconds);
        return List.of(
                new Figure(label, "s", elapsedSeconds),
                new Figure(label + ": sent", "bytes/s", bytesPerMemberSecond),
                new Figure(label + ": false failures", "in all views", falseAlarms.falseFailures));
    }

    /**
     * Starts to count how often one member wrongly regards another as suspect or as failed. Status
     * changes of killed members, and of members on the other side of the partition, are expected
     * and not counted.
     *
     * @param partitionedCount number of members that are partitioned from the others; these are the
     *     members with the lowest numbers
     * @param killedCount number of members that are killed; these are the members with the lowest
     *     numbers
     */
    private static FalseAlarms countFalseAlarms(
            FleetSim sim, int partitionedCount, int killedCount) {
        FalseAlarms falseAlarms = new FalseAlarms();
        sim.setStatusListener(
                (us, observer, before, after) -> {
                    int member = Integer.parseInt(after.name().substring(1));
                    boolean expected =
                            member < killedCount
                                    || member < partitionedCount != observer < partitionedCount;
                    if (expected) {
                        return;
                    }
                    falseAlarms.suspicions += after.status() == Status.SUSPECT ? 1 : 0;
                    falseAlarms.falseFailures += after.status() == Status.FAILED ? 1 : 0;
                });
        return falseAlarms;
    }
}
