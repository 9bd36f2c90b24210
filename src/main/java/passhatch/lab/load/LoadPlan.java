package passhatch.lab.load;

import java.util.List;

/**
 * The load to give.
 *
 * @param requestsPerSecond requests a second
 * @param evenlySpaced whether they come evenly; else as a Poisson process
 * @param durationMs how long
 * @param maxRetries how often a client tries again, at another proxy, what was refused, failed or
 *     not answered
 * @param maxIdleConnections that are kept to each proxy at most; more are opened when all are busy,
 *     and closed after
 * @param threads that send
 * @param tickUs how often the sender looks for requests that are due, in microseconds; a short one
 *     keeps its thread always busy
 * @param requestClasses the classes of requests with their shares
 */
public record LoadPlan(
        double requestsPerSecond,
        boolean evenlySpaced,
        long durationMs,
        int maxRetries,
        int maxIdleConnections,
        int threads,
        long tickUs,
        List<RequestClass> requestClasses) {

    /** Often enough for a drill's times. */
    public static final long DRILL_TICK_US = 500;

    /** A load as drills give it. */
    public LoadPlan(
            double rate,
            boolean even,
            long durationMs,
            int retries,
            int connections,
            int threads,
            List<RequestClass> kinds) {
        this(rate, even, durationMs, retries, connections, threads, DRILL_TICK_US, kinds);
    }

    /** How a request may be repeated. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * A class of requests.
     *
     * @param path its name in the settings
     * @param weight of all requests, relative to the other kinds'
     * @param deadlineUs how long its client waits
     */
    public record RequestClass(String path, Effect effect, double weight, long deadlineUs) {}
}
