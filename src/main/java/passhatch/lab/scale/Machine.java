package passhatch.lab.scale;

import java.lang.management.ManagementFactory;

/**
 * The load of the machine during a measurement, for judging its figures.
 *
 * @param processors number of processors that this tool may use
 * @param loadBefore one-minute load average of the system at the start of the measurement
 * @param loadAfter the same at its end
 */
record Machine(int processors, double loadBefore, double loadAfter) {

    /** Returns the current one-minute load average; negative if it is not available. */
    static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    /** Returns the machine's load for a measurement that ends now. */
    static Machine since(double loadBefore) {
        return new Machine(Runtime.getRuntime().availableProcessors(), loadBefore, loadAverage());
    }
}
