package passhatch.lab.scale;

import java.lang.management.ManagementFactory;

/**
 * The machine while something was measured, to judge the figures by.
 *
 * @param processors that this tool may use
 * @param loadBefore the system's load average of one minute when it began
 * @param loadAfter the same when it ended
 */
record Machine(int processors, double loadBefore, double loadAfter) {

    /** The load average of one minute now; negative where the system does not tell. */
    static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    /** The machine of a measurement that ends now. */
    static Machine since(double loadBefore) {
        return new Machine(Runtime.getRuntime().availableProcessors(), loadBefore, loadAverage());
    }
}
