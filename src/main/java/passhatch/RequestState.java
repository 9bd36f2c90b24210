package passhatch;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;

/** The state of a request at this copy, kept until the request and all its attempts have ended. */
final class RequestState {

    /**
     * Fraction of a request's useful time for which the request waits for a list of servers. The
     * useful time is the time in which a response has worth. A refusal after half of this time
     * would come too late.
     */
    private static final double LIST_WAIT_FRACTION_OF_USEFUL_TIME = 0.4;

    final Request original;
    final RequestClass requestClass;

    /** Time after which a response has no worth, or the client no longer waits for a response. */
    final long usefulUntilUs;

    /** Expected work of this request as a multiple of the usual work; 1 if unknown. */
    final double relativeWork;

    /** When the client stops waiting for a response to this request. */
    final long deadlineUs;

    /**
     * Time until which this request waits for a list of servers; more than half of its useful time
     * is then left for the client to go elsewhere.
     */
    final long listWaitUntilUs;

    final List<Attempt> attempts = new ArrayList<>(2);
    int outstandingAttempts;
    boolean completed;

    /**
     * Whether the body was forwarded to a server and not kept, so that this request cannot be sent
     * again.
     */
    boolean bodyNotReplayable;

    boolean overQuota;

    /**
     * True once this request has had to wait for a server. Such a request is sent only if its
     * response is likely to be in time.
     */
    boolean queued;

    int probeRounds;

    /** Time until which this request waits for the replies to probes. */
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

    /**
     * Returns the first attempt of this request that may have run or may still run, or null if
     * there is none.
     */
    Attempt firstPossiblyRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.provedNotRun) {
                return attempt;
            }
        }
        return null;
    }
}
