package passhatch.lab.scale;

import java.lang.management.ManagementFactory;

/**
 * The load of the machine during a measurement, which shows how far the measured figures can be
 * trusted.
 *
 * @param processors number of processors that this tool may use
 * @param loadBefore one-minute load average of the system at the start of the measurement
 * @param loadAfter one-minute load average of the system at the end of the measurement
 */
record Machine(int processors, double loadBefore, double loadAfter) {

    /** Returns the current one-minute load average; negative if it is not available. */
    static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    /**
     * Returns the machine's load for a measurement that ends now.
     *
     * @param loadBefore {@link #loadAverage} at the start of the measurement
     */
    static Machine since(double loadBefore) {
        return new Machine(Runtime.getRuntime().availableProcessors(), loadBefore, loadAverage());
    }
}
