package passhatch.lab.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What became of the requests, over all of the load and by the time that they were due. Latency
 * counts from the time that a request was due, not from when it could be sent, so that a stall is
 * felt by all requests that it held up (no coordinated omission).
 */
public final class Tally {

    /** Length of one step on the time axis. */
    public static final int STEP_MS = 250;

    private static final long MOST_US = 120_000_000;

    /** What became of the requests that were due in one step. */
    public static final class Step {
        private final Map<Outcome, Integer> ended = new EnumMap<>(Outcome.class);
        private final Histogram latencyUs = new Histogram(MOST_US, 2);

        /** How many ended so. */
        public int count(Outcome outcome) {
            return ended.getOrDefault(outcome, 0);
        }

        /** All that were due. */
        public int offered() {
            return ended.values().stream().mapToInt(Integer::intValue).sum();
        }

        /** Latency of the answers in microseconds. */
        public Histogram latencyUs() {
            return latencyUs;
        }
    }

    private final List<Step> steps = new ArrayList<>();
    private final Histogram latencyUs = new Histogram(MOST_US, 3);
    private final Histogram behindUs = new Histogram(MOST_US, 3);
    private long retries;

    void ended(long dueMs, Outcome outcome, long tookUs) {
        Step step = step((int) (dueMs / STEP_MS));
        step.ended.merge(outcome, 1, Integer::sum);
        if (outcome == Outcome.SERVED || outcome == Outcome.LATE) {
            step.latencyUs.recordValue(Math.min(MOST_US, Math.max(0, tookUs)));
            latencyUs.recordValue(Math.min(MOST_US, Math.max(0, tookUs)));
        }
    }

    /** A request was sent so much later than it was due. */
    void sent(long behind) {
        behindUs.recordValue(Math.min(MOST_US, Math.max(0, behind)));
    }

    void retried() {
        retries++;
    }

    private Step step(int at) {
        while (steps.size() <= at) {
            steps.add(new Step());
        }
        return steps.get(at);
    }

    void add(Tally other) {
        for (int i = 0; i < other.steps.size(); i++) {
            Step mine = step(i);
            other.steps.get(i).ended.forEach((o, n) -> mine.ended.merge(o, n, Integer::sum));
            mine.latencyUs.add(other.steps.get(i).latencyUs);
        }
        latencyUs.add(other.latencyUs);
        behindUs.add(other.behindUs);
        retries += other.retries;
    }

    /** By the time that requests were due, each {@link #STEP_MS} long. */
    public List<Step> steps() {
        return List.copyOf(steps);
    }

    /** Latency of all answers in microseconds. */
    public Histogram latencyUs() {
        return latencyUs;
    }

    /** How much later than due requests were sent, in microseconds. */
    public Histogram behindUs() {
        return behindUs;
    }

    /** Requests that clients sent once more. */
    public long retries() {
        return retries;
    }

    /** How many ended so. */
    public long count(Outcome outcome) {
        return steps.stream().mapToLong(s -> s.count(outcome)).sum();
    }

    /** All requests that were due, a client's tries counted once. */
    public long offered() {
        return steps.stream().mapToLong(Step::offered).sum();
    }
}
