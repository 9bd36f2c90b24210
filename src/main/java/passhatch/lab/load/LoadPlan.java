package passhatch.lab.load;

import java.util.List;

/**
 * The load to generate.
 *
 * @param requestsPerSecond rate of all threads together
 * @param evenlySpaced whether requests arrive at equal intervals; otherwise as a Poisson process
 * @param durationMs how long requests arrive, in milliseconds
 * @param maxRetries how often a client retries at another proxy a request that was refused, failed
 *     or not answered
 * @param maxIdleConnections idle connections kept to each proxy, over all threads; further ones are
 *     opened when all are busy and closed after use
 * @param threads threads that send
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

    /** Whether a request may be repeated. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * A class of requests.
     *
     * @param path path of the requests, which is the name of the class in the settings
     * @param weight its part of all requests, relative to the weights of the other classes
     * @param deadlineUs how long the client waits, in microseconds
     */
    public record RequestClass(String path, Effect effect, double weight, long deadlineUs) {}
}
