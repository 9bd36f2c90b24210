package passhatch.lab.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** What reached the backends, over all of them, for the rules that bind every proxy. */
public final class Ledger {

    /** A request reaches backends this often at the most. */
    public static final int MOST_ATTEMPTS = 3;

    /** Of one request: how often it came, and how often it may have run. */
    private record Seen(int attempts, int runs, boolean onceOnly) {}

    private final Map<String, Seen> requests = new ConcurrentHashMap<>();
    private final LongAdder attempts = new LongAdder();
    private final LongAdder afterDrain = new LongAdder();

    /**
     * A request has come whole.
     *
     * @param onceOnly it must never run twice: it is neither safe to repeat nor has a key
     * @param runs the backend takes it up; false where it turns it away
     */
    void arrived(String id, boolean onceOnly, boolean runs) {
        attempts.increment();
        requests.merge(
                id,
                new Seen(1, runs ? 1 : 0, onceOnly),
                (a, b) -> new Seen(a.attempts + b.attempts, a.runs + b.runs, onceOnly));
    }

    /**
     * A request came to a backend that had been told to drain, after the time that the rules allow.
     */
    void afterDrain() {
        afterDrain.increment();
    }

    /** All requests that came whole to any backend, each as often as it came. */
    public long attempts() {
        return attempts.sum();
    }

    /** Requests that must not run twice and may have. */
    public long duplicates() {
        return requests.values().stream().filter(s -> s.onceOnly && s.runs > 1).count();
    }

    /** Requests that came more often than is allowed. */
    public long tooOften() {
        return requests.values().stream().filter(s -> s.attempts > MOST_ATTEMPTS).count();
    }

    /** Requests that came too late to a draining backend. */
    public long drainBroken() {
        return afterDrain.sum();
    }
}
