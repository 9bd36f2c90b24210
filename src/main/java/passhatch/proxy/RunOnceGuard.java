package passhatch.proxy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import passhatch.Balancer.DedupGroup;
import passhatch.Balancer.Effect;
import passhatch.Balancer.RequestClass;
import passhatch.proxy.client.ProxyRequest;

/**
 * Keeps requests that must not run twice from running again under the same id, also after their
 * client has left and at another process of this proxy.
 */
final class RunOnceGuard {

    private final List<RequestClass> classes;
    private final ClaimedIds claimedIds;

    RunOnceGuard(List<RequestClass> classes, ClaimedIds claimedIds) {
        this.classes = classes;
        this.claimedIds = claimedIds;
    }

    /** Returns whether a request with this id may have run and must not run again. */
    boolean mayHaveRun(ProxyRequest request) {
        return mustRunOnce(request) && claimedIds.contains(request.id(), sharedClockUs());
    }

    /**
     * Claims the id of a request before its first attempt begins. The attempt may begin only if the
     * result is {@link ClaimedIds.Claim#CLAIMED}.
     */
    ClaimedIds.Claim claim(Exchange exchange) {
        ProxyRequest request = exchange.request;
        if (exchange.idClaimed || !mustRunOnce(request)) {
            return ClaimedIds.Claim.CLAIMED;
        }
        long nowUs = sharedClockUs();
        ClaimedIds.Claim claim =
                claimedIds.claim(
                        request.id(), nowUs, nowUs + request.timeoutUs() + ClaimedIds.RETENTION_US);
        exchange.idClaimed = claim == ClaimedIds.Claim.CLAIMED;
        return claim;
    }

    /**
     * Sets how long the id of a request stays claimed whose attempts have all ended. A long body or
     * response may have taken longer than the first claim lasts.
     */
    void onCompleted(Exchange exchange) {
        if (!exchange.idClaimed) {
            return;
        }
        String id = exchange.request.id();
        long nowUs = sharedClockUs();
        long untilUs = exchange.writtenAndMayHaveRun() ? nowUs + ClaimedIds.RETENTION_US : nowUs;
        if (claimedIds.claim(id, nowUs, untilUs) == ClaimedIds.Claim.CLAIMED_BEFORE) {
            claimedIds.claimUntil(id, nowUs, untilUs);
        }
    }

    /** Returns whether some server would not recognize another run of the request as a repeat. */
    private boolean mustRunOnce(ProxyRequest request) {
        RequestClass requestClass = classes.get(request.requestClass());
        return requestClass.effect() == Effect.UNSAFE
                || requestClass.effect() == Effect.KEYED && requestClass.group() != DedupGroup.ALL;
    }

    /** Returns the time of the clock that all processes on this machine share. */
    private static long sharedClockUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }
}
