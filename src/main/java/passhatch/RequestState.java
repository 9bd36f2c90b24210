package passhatch;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;

/** A request held by this copy, from its arrival until its last attempt's outcome. */
final class RequestState {

    /** Of the time in which its answer is of use: past the half of it a refusal comes too late. */
    private static final double LIST_WAIT_FRACTION = 0.4;

    final Request original;
    final RequestClass requestClass;

    /** No answer later than this earns anything or is still listened to. */
    final long usefulUntilUs;

    /** Its expected work, as a multiple of the usual; 1 where unknown. */
    final double relativeWork;

    /** When its client gives up. */
    final long deadlineUs;

    /** A call waits for a list of servers until then: half of its time is left to go elsewhere. */
    final long listWaitUntilUs;

    final List<Attempt> attempts = new ArrayList<>(2);
    int outstandingAttempts;
    boolean completed;

    /** Its body went to a server and was not kept. */
    boolean bodyNotReplayable;

    boolean overQuota;

    /**
     * It had to wait for a server; those that did are sent only with a fair chance to be in time.
     */
    boolean queued;

    int probeRounds;

    /** The call waits for probes until then. */
    long probeWaitUntilUs = Long.MIN_VALUE;

    RequestState(Request request, RequestClass kind, long nowUs, long endAtUs, double size) {
        this.original = request;
        this.requestClass = kind;
        this.usefulUntilUs = endAtUs;
        this.relativeWork = size;
        this.deadlineUs = nowUs + request.timeLeftUs();
        this.listWaitUntilUs = nowUs + (long) ((endAtUs - nowUs) * LIST_WAIT_FRACTION);
    }

    /** The first attempt that may have run or may still run, or null. */
    Attempt firstPossiblyRun() {
        for (Attempt a : attempts) {
            if (!a.provedNotRun) {
                return a;
            }
        }
        return null;
    }
}
