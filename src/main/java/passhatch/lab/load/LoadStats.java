package passhatch.lab.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Outcomes and latency of requests, in total and by the time at which the requests were due. The
 * latency of a request counts from the time at which it was due, not from when it was sent, so that
 * a stall raises the latency of all requests that it delayed (no coordinated omission).
 */
public final class LoadStats {

    /**
     * Length in milliseconds of a step, the interval of due times for which results are summed up.
     */
    public static final int STEP_MS = 250;

    private static final long MAX_RECORDED_US = 120_000_000;

    /** Outcomes and latency of the requests that were due in one step. */
    public static final class Step {
        private final Map<Outcome, Integer> countsByOutcome = new EnumMap<>(Outcome.class);
        private final Histogram latencyUs = new Histogram(MAX_RECORDED_US, 2);

        /** Returns the number of requests of this step that had the given outcome. */
        public int count(Outcome outcome) {
            return countsByOutcome.getOrDefault(outcome, 0);
        }

        /** Returns the number of all requests that were due in this step. */
        public int offered() {
            return countsByOutcome.values().stream().mapToInt(Integer::intValue).sum();
        }

        /** Returns the latency of the responses to requests of this step, in microseconds. */
        public Histogram latencyUs() {
            return latencyUs;
        }
    }

    private final List<Step> steps = new ArrayList<>();
    private final Histogram latencyUs = new Histogram(MAX_RECORDED_US, 3);
    private final Histogram sendDelayUs = new Histogram(MAX_RECORDED_US, 3);
    private long clientRetries;

    void recordCompletion(long dueMs, Outcome outcome, long elapsedUs) {
        Step step = step((int) (dueMs / STEP_MS));
        step.countsByOutcome.merge(outcome, 1, Integer::sum);
        if (outcome == Outcome.SERVED || outcome == Outcome.LATE) {
            step.latencyUs.recordValue(Math.min(MAX_RECORDED_US, Math.max(0, elapsedUs)));
            latencyUs.recordValue(Math.min(MAX_RECORDED_US, Math.max(0, elapsedUs)));
        }
    }

    /**
     * Records the delay in microseconds between the time at which a request was due and its send.
     */
    void recordSendDelay(long delayUs) {
        sendDelayUs.recordValue(Math.min(MAX_RECORDED_US, Math.max(0, delayUs)));
    }

    void recordRetry() {
        clientRetries++;
    }

    private Step step(int index) {
        while (steps.size() <= index) {
            steps.add(new Step());
        }
        return steps.get(index);
    }

    void add(LoadStats other) {
        for (int i = 0; i < other.steps.size(); i++) {
            Step step = step(i);
            other.steps
                    .get(i)
                    .countsByOutcome
                    .forEach((o, n) -> step.countsByOutcome.merge(o, n, Integer::sum));
            step.latencyUs.add(other.steps.get(i).latencyUs);
        }
        latencyUs.add(other.latencyUs);
        sendDelayUs.add(other.sendDelayUs);
        clientRetries += other.clientRetries;
    }

    /** Returns the steps in order of time, each {@link #STEP_MS} long. */
    public List<Step> steps() {
        return List.copyOf(steps);
    }

    /** Returns the latency of all responses, in microseconds. */
    public Histogram latencyUs() {
        return latencyUs;
    }

    /**
     * Returns the delays in microseconds between the time at which each request was due and its
     * send.
     */
    public Histogram sendDelayUs() {
        return sendDelayUs;
    }

    /** Returns the number of retries that clients sent. */
    public long clientRetries() {
        return clientRetries;
    }

    /** Returns the number of requests over all steps that had the given outcome. */
    public long count(Outcome outcome) {
        return steps.stream().mapToLong(s -> s.count(outcome)).sum();
    }

    /** Returns the number of all requests that were due; retries are not counted. */
    public long offered() {
        return steps.stream().mapToLong(Step::offered).sum();
    }
}
