package passhatch.lab.scale;

import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import passhatch.lab.fleet.FleetSim;

/**
 * One simulated fleet whose members know each other from the start. The fleet is simulated in short
 * steps. If a limit of real time is exceeded, the methods that run the fleet throw a {@link
 * TimeoutException}.
 */
final class MembershipTrial {

    static final long SECOND_US = 1_000_000;

    private static final long STEP_US = SECOND_US / 4;
    private static final long WARM_UP_US = 5 * SECOND_US;

    /**
     * Bytes and datagrams that an average member sends, and processor time that it uses, per
     * simulated second.
     */
    record Traffic(
            double bytesPerSecond, double datagramsPerSecond, double processorMicrosPerSecond) {}

    private final FleetSim sim;
    private final int members;
    private final long deadlineNs;

    /** Starts the fleet and runs it for a warm-up time, in which the first probes complete. */
    MembershipTrial(long seed, int members, long bytesPerSecond, long maxWallSeconds)
            throws TimeoutException {
        this.members = members;
        this.deadlineNs = System.nanoTime() + maxWallSeconds * 1_000_000_000L;
        this.sim = FleetSim.fleet(seed, members, bytesPerSecond);
        sim.startAllConverged();
        advance(WARM_UP_US);
    }

    FleetSim sim() {
        return sim;
    }

    int members() {
        return members;
    }

    /** Runs the fleet for a duration in simulated microseconds. */
    void advance(long durationUs) throws TimeoutException {
        long endUs = sim.nowUs() + durationUs;
        while (sim.nowUs() < endUs) {
            checkDeadline();
            sim.runFor(Math.min(STEP_US, endUs - sim.nowUs()));
        }
    }

    /**
     * Runs the fleet until a condition holds, and returns how long that took in simulated seconds.
     */
    double advanceUntil(BooleanSupplier condition) throws TimeoutException {
        long startUs = sim.nowUs();
        while (!condition.getAsBoolean()) {
            checkDeadline();
            sim.runFor(STEP_US);
        }
        return (double) (sim.nowUs() - startUs) / SECOND_US;
    }

    /**
     * Runs the fleet for a number of simulated seconds, and returns the traffic of an average
     * member.
     */
    Traffic measureTraffic(int seconds) throws TimeoutException {
        long bytesBefore = sim.sentBytes();
        long datagramsBefore = sim.sentDatagrams();
        long processorNsBefore = processorNs();
        advance(seconds * SECOND_US);
        double memberSeconds = (double) members * seconds;
        return new Traffic(
                (sim.sentBytes() - bytesBefore) / memberSeconds,
                (sim.sentDatagrams() - datagramsBefore) / memberSeconds,
                (processorNs() - processorNsBefore) / 1e3 / memberSeconds);
    }

    /** Returns whether every running process sees exactly this number of members as present. */
    boolean allProcessesSee(int presentCount) {
        for (int i = 0; i < members; i++) {
            if (sim.isRunning(i) && sim.presentCount(i) != presentCount) {
                return false;
            }
        }
        return true;
    }

    private static long processorNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private void checkDeadline() throws TimeoutException {
        if (System.nanoTime() > deadlineNs) {
            throw new TimeoutException("not finished in the real time allowed");
        }
    }
}
