package passhatch.lab.load;

import java.util.List;

/**
 * The load to generate.
 *
 * @param requestsPerSecond request rate of all threads together
 * @param evenlySpaced whether requests are sent at equal intervals; otherwise they are sent as a
 *     Poisson process
 * @param durationMs how long new requests are sent, in milliseconds
 * @param maxRetries maximum number of times that a client retries, at another proxy, a request that
 *     was refused, failed or not answered
 * @param maxIdleConnections maximum number of idle connections kept to each proxy, over all
 *     threads; further connections are opened while all are busy, and closed after use
 * @param threads number of threads that send requests
 * @param tickUs interval in microseconds at which a sender checks for due requests; a short
 *     interval keeps its thread busy all the time
 * @param requestClasses classes of requests with their weights
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

    /** Tick interval in microseconds, short enough for the times that drills measure. */
    public static final long DRILL_TICK_US = 500;

    /** Creates a plan with the tick interval of drills. */
    public LoadPlan(
            double requestsPerSecond,
            boolean evenlySpaced,
            long durationMs,
            int maxRetries,
            int maxIdleConnections,
            int threads,
            List<RequestClass> requestClasses) {
        this(
                requestsPerSecond,
                evenlySpaced,
                durationMs,
                maxRetries,
                maxIdleConnections,
                threads,
                DRILL_TICK_US,
                requestClasses);
    }

    /** Whether a request may run more than once. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * A class of requests.
     *
     * @param path path of the requests, which is the name of the class in the settings
     * @param weight relative frequency of requests of this class; their fraction of all requests is
     *     this weight divided by the sum of all weights
     * @param deadlineUs how long the client waits for a response, in microseconds
     */
    public record RequestClass(String path, Effect effect, double weight, long deadlineUs) {}
}
