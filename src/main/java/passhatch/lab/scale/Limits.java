package passhatch.lab.scale;

/** What the program may cost, and the size that it has to hold. */
final class Limits {

    /** Time that proxies may add to a call at the 99th percentile over the whole path. */
    static final double ADDED_P99_US = 610;

    /** Proxies on the longest path of a call. */
    static final int PATH_DEPTH = 7;

    /** Share of a core that the control side of a proxy may take. */
    static final double PROCESSOR_SHARE = 0.038;

    /** Memory of a proxy. */
    static final int MEMORY_MB = 128;

    /** Traffic of the control side of a proxy. */
    static final double BYTES_PER_SECOND = 5_000;

    /** Backends in the largest fleet, one proxy beside each. */
    static final int BACKENDS = 19_000;

    /** Changes of the list a day over the whole fleet. */
    static final int CHANGES_PER_DAY = 15_000;

    private Limits() {}
}
