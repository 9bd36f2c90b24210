package passhatch.lab.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** What reached the backends, over all of them, for the rules that bind every proxy. */
public final class RequestLedger {

    /** A request reaches backends this often at the most. */
    public static final int MAX_ATTEMPTS_PER_REQUEST = 3;

    /** Of one request: how often it came, and how often it may have run. */
    private record RequestCounts(int attempts, int executions, boolean atMostOnce) {}

    private final Map<String, RequestCounts> requests = new ConcurrentHashMap<>();
    private final LongAdder attempts = new LongAdder();
    private final LongAdder attemptsAfterDrain = new LongAdder();

    /**
     * A request has come whole.
     *
     * @param atMostOnce it must never run twice: it is neither safe to repeat nor has a key
     * @param accepted the backend takes it up; false where it turns it away
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
     * A request came to a backend that had been told to drain, after the time that the rules allow.
     */
    void recordAttemptAfterDrain() {
        attemptsAfterDrain.increment();
    }

    /** All requests that came whole to any backend, each as often as it came. */
    public long attempts() {
        return attempts.sum();
    }

    /** Requests that must not run twice and may have. */
    public long duplicates() {
        return requests.values().stream().filter(s -> s.atMostOnce && s.executions > 1).count();
    }

    /** Requests that came more often than is allowed. */
    public long requestsOverMaxAttempts() {
        return requests.values().stream()
                .filter(s -> s.attempts > MAX_ATTEMPTS_PER_REQUEST)
                .count();
    }

    /** Requests that came too late to a draining backend. */
    public long attemptsAfterDrain() {
        return attemptsAfterDrain.sum();
    }
}
