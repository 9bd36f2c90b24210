package passhatch.lab.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Records the requests that reach any backend, to check whether the proxies follow the rules of the
 * protocol.
 */
public final class RequestLedger {

    /** Maximum number of attempts that the protocol allows per request id, over all backends. */
    public static final int MAX_ATTEMPTS_PER_REQUEST = 3;

    /** Number of attempts of one request, and how many of these attempts may have been executed. */
    private record RequestCounts(int attempts, int executions, boolean atMostOnce) {}

    private final Map<String, RequestCounts> requests = new ConcurrentHashMap<>();
    private final LongAdder attempts = new LongAdder();
    private final LongAdder attemptsAfterDrain = new LongAdder();

    /**
     * Records an attempt that a backend received completely.
     *
     * @param atMostOnce whether the request must never be executed twice, because it is neither
     *     safe to repeat nor has an idempotency key
     * @param accepted whether the backend accepts the request; false if it rejects the request
     */
    void recordAttempt(String id, boolean atMostOnce, boolean accepted) {
        attempts.increment();
        requests.merge(
                id,
                new RequestCounts(1, accepted ? 1 : 0, atMostOnce),
                (a, b) ->
                        new RequestCounts(
                                a.attempts + b.attempts, a.executions + b.executions, atMostOnce));
    }

    /**
     * Records an attempt that reached a draining backend after the time allowed by the protocol.
     */
    void recordAttemptAfterDrain() {
        attemptsAfterDrain.increment();
    }

    /** Returns the number of attempts that all backends received completely. */
    public long attempts() {
        return attempts.sum();
    }

    /** Returns the number of requests that must not be executed twice but may have been. */
    public long duplicates() {
        return requests.values().stream().filter(s -> s.atMostOnce && s.executions > 1).count();
    }

    /** Returns the number of requests with more attempts than the protocol allows. */
    public long requestsOverMaxAttempts() {
        return requests.values().stream()
                .filter(s -> s.attempts > MAX_ATTEMPTS_PER_REQUEST)
                .count();
    }

    /**
     * Returns the number of attempts that reached a draining backend after the time allowed by the
     * protocol.
     */
    public long attemptsAfterDrain() {
        return attemptsAfterDrain.sum();
    }
}
