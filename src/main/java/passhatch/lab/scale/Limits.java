package passhatch.lab.scale;

/** Limits on what the program may use, and the size of the fleet for which they hold. */
final class Limits {

    /** Latency that all proxies of the longest path may add to a request at the 99th percentile. */
    static final double ADDED_P99_US = 610;

    /** Number of proxies on the longest path of a request. */
    static final int PATH_DEPTH = 7;

    /** Fraction of a core that the control plane of a proxy may use. */
    static final double PROCESSOR_SHARE = 0.038;

    /** Memory that a proxy may use. */
    static final int MEMORY_MB = 128;

    /** Traffic that the control plane of a proxy may cause. */
    static final double BYTES_PER_SECOND = 5_000;

    /** Number of backends in the largest fleet; one proxy runs beside each. */
    static final int BACKENDS = 19_000;

    /** Changes of the list of backends a day in the whole fleet. */
    static final int CHANGES_PER_DAY = 15_000;

    private Limits() {}
}
