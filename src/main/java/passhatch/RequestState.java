package passhatch;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;

/** A request held by this copy, from its arrival until its last attempt's outcome. */
final class RequestState {

    /**
     * Fraction of the useful time that a request waits for a list; a refusal after half of it would
     * come too late.
     */
    private static final double LIST_WAIT_FRACTION_OF_USEFUL_TIME = 0.4;

    final Request original;
    final RequestClass requestClass;

    /** Time after which a response has no worth or the client no longer waits for it. */
    final long usefulUntilUs;

    /** Expected work as a multiple of the usual; 1 where unknown. */
    final double relativeWork;

    /** When the client gives up this try. */
    final long deadlineUs;

    /**
     * Until when the request waits for a list of servers; half of its time is left to go elsewhere.
     */
    final long listWaitUntilUs;

    final List<Attempt> attempts = new ArrayList<>(2);
    int outstandingAttempts;
    boolean completed;

    /** Whether the body went to a server and was not kept. */
    boolean bodyNotReplayable;

    boolean overQuota;

    /**
     * Whether it had to wait for a server; such requests are sent only if they are likely to be in
     * time.
     */
    boolean queued;

    int probeRounds;

    /** Until when the request waits for probes. */
    long probeWaitUntilUs = Long.MIN_VALUE;

    RequestState(
            Request original,
            RequestClass requestClass,
            long nowUs,
            long usefulUntilUs,
            double relativeWork) {
        this.original = original;
        this.requestClass = requestClass;
        this.usefulUntilUs = usefulUntilUs;
        this.relativeWork = relativeWork;
        this.deadlineUs = nowUs + original.timeLeftUs();
        this.listWaitUntilUs =
                nowUs + (long) ((usefulUntilUs - nowUs) * LIST_WAIT_FRACTION_OF_USEFUL_TIME);
    }

    /** Returns the first attempt that may have run or may still run, or null. */
    Attempt firstPossiblyRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.provedNotRun) {
                return attempt;
            }
        }
        return null;
    }
}
