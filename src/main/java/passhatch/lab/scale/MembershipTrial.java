package passhatch.lab.scale;

import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import passhatch.lab.fleet.FleetSim;

/**
 * One fleet of hollow members that agree from the beginning, played in short steps until a limit of
 * real time.
 */
final class MembershipTrial {

    static final long SECOND_US = 1_000_000;

    private static final long STEP_US = SECOND_US / 4;
    private static final long WARM_UP_US = 5 * SECOND_US;

    /** What members sent, and the processor time it took, in a part of the simulated time. */
    record Traffic(
            double bytesPerSecond, double datagramsPerSecond, double processorMicrosPerSecond) {}

    private final FleetSim sim;
    private final int members;
    private final long deadlineNs;

    /** Starts the fleet and plays on until its first probes are over. */
    MembershipTrial(long seed, int members, long bytesPerSecond, long mostWallSeconds)
            throws TimeoutException {
        this.members = members;
        this.deadlineNs = System.nanoTime() + mostWallSeconds * 1_000_000_000L;
        this.sim = FleetSim.fleet(seed, members, bytesPerSecond);
        sim.startAllAgreed();
        run(WARM_UP_US);
    }

    FleetSim sim() {
        return sim;
    }

    int members() {
        return members;
    }

    /** Plays so much more simulated time. */
    void run(long us) throws TimeoutException {
        long end = sim.nowUs() + us;
        while (sim.nowUs() < end) {
            requireTime();
            sim.run(Math.min(STEP_US, end - sim.nowUs()));
        }
    }

    /** Plays on until something holds; simulated seconds it took. */
    double until(BooleanSupplier holds) throws TimeoutException {
        long begun = sim.nowUs();
        while (!holds.getAsBoolean()) {
            requireTime();
            sim.run(STEP_US);
        }
        return (double) (sim.nowUs() - begun) / SECOND_US;
    }

    /** Plays so much simulated time, and measures what an average member does in it. */
    Traffic traffic(int seconds) throws TimeoutException {
        long bytes = sim.bytes();
        long datagrams = sim.datagrams();
        long processorNs = processorNs();
        run(seconds * SECOND_US);
        double memberSeconds = (double) members * seconds;
        return new Traffic(
                (sim.bytes() - bytes) / memberSeconds,
                (sim.datagrams() - datagrams) / memberSeconds,
                (processorNs() - processorNs) / 1e3 / memberSeconds);
    }

    /** Whether all that run see just so many as present. */
    boolean allSee(int present) {
        for (int i = 0; i < members; i++) {
            if (sim.runs(i) && sim.present(i) != present) {
                return false;
            }
        }
        return true;
    }

    private static long processorNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private void requireTime() throws TimeoutException {
        if (System.nanoTime() > deadlineNs) {
            throw new TimeoutException("not finished in the real time allowed");
        }
    }
}
