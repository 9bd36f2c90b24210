package passhatch.lab.scale;

/**
 * Limits on the resources that the program may use, and the size of the fleet for which the limits
 * hold.
 */
final class Limits {

    /**
     * Maximum latency that all proxies on the longest path together may add to a request at the
     * 99th percentile, in microseconds.
     */
    static final double ADDED_P99_US = 610;

    /** Number of proxies on the longest path of a request. */
    static final int PATH_DEPTH = 7;

    /** Maximum fraction of a core that the control plane of a proxy may use. */
    static final double PROCESSOR_SHARE = 0.038;

    /** Maximum memory that a proxy may use, in megabytes. */
    static final int MEMORY_MB = 128;

    /** Maximum traffic that the control plane of a proxy may cause, in bytes a second. */
    static final double BYTES_PER_SECOND = 5_000;

    /** Number of backends in the largest fleet; one proxy runs beside each. */
    static final int BACKENDS = 19_000;

    /** Number of changes that are made in a day to the list of backends of the whole fleet. */
    static final int CHANGES_PER_DAY = 15_000;

    private Limits() {}
}
