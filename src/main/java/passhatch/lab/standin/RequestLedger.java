package passhatch.lab.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Records the requests that reached any backend, to check the rules that every proxy must follow.
 */
public final class RequestLedger {

    /** Maximum number of attempts per request id, over all backends. */
    public static final int MAX_ATTEMPTS_PER_REQUEST = 3;

    /** Number of attempts of one request, and how many of them may have been executed. */
    private record RequestCounts(int attempts, int executions, boolean atMostOnce) {}

    private final Map<String, RequestCounts> requests = new ConcurrentHashMap<>();
    private final LongAdder attempts = new LongAdder();
    private final LongAdder attemptsAfterDrain = new LongAdder();

    /**
     * Records a request that was received completely.
     *
     * @param atMostOnce whether it must never be executed twice, because it is neither safe to
     *     repeat nor has an idempotency key
     * @param accepted whether the backend accepts it; false if it is rejected
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

    /** Records a request that reached a draining backend after the time allowed by the protocol. */
    void recordAttemptAfterDrain() {
        attemptsAfterDrain.increment();
    }

    /** Returns the number of complete requests received by all backends, each attempt counted. */
    public long attempts() {
        return attempts.sum();
    }

    /** Returns the number of requests that must not be executed twice but may have been. */
    public long duplicates() {
        return requests.values().stream().filter(s -> s.atMostOnce && s.executions > 1).count();
    }

    /** Returns the number of requests with more attempts than allowed. */
    public long requestsOverMaxAttempts() {
        return requests.values().stream()
                .filter(s -> s.attempts > MAX_ATTEMPTS_PER_REQUEST)
                .count();
    }

    /** Returns the number of requests that reached a draining backend too late. */
    public long attemptsAfterDrain() {
        return attemptsAfterDrain.sum();
    }
}
