package passhatch;

/** A server and its load, failures and latencies as seen by this copy. */
final class ServerState {
    final String id;

    /** Hash of the id that orders the list in the same way at every copy. */
    final int hashOrder;

    int zone;
    int group;
    int model;
    long startedAtUs;

    /** Whether the latest list has it as {@link Balancer.ServerStatus#UP}. */
    boolean up;

    /** Whether it is among the servers that requests may be sent to. */
    boolean listed;

    /**
     * Whether it is draining: its idle connections are closed at the notice and after each outcome.
     */
    boolean draining;

    /** This copy's outstanding attempts; also counted while it drains or is not listed. */
    int inFlight;

    /**
     * When it was last assigned, later by a part of a round for a slow server, earlier for a quick
     * one. Below all times, in random order, while never used.
     */
    long turnAtUs;

    /** When the latest request that it accepted was sent. */
    long lastAcceptedSendUs = ListLease.NEVER;

    int consecutiveFailures;

    /** When an outcome last showed a working connection; the least value after a failure. */
    long lastConnectedUs = Long.MIN_VALUE;

    /** Running mean of the share of errors among its responses, 0 to 1. */
    double errorRate;

    /** Cooldowns because of errors, with no recovery in between. */
    int errorCooldowns;

    /** Overdue attempts since its last response. */
    int overdueAttempts;

    /** Unanswered probes since the last answered one. */
    int unansweredProbes;

    /** Until this time it is chosen only if all others are busy. */
    long demotedUntilUs = Long.MIN_VALUE;

    /** Requests in flight by its own report, valid until {@link #reportValidUntilUs}. */
    int reportedLoad;

    long reportValidUntilUs = Long.MIN_VALUE;

    /** Decaying sum of the latencies of attempts here. */
    double latencySumUs;

    /** Decaying sum of the loads at the send of the same attempts. */
    double loadSum;

    /** When the two sums last changed. */
    long lastLatencySampleUs = Long.MIN_VALUE;

    /** When the pending probe was sent, or the least value if none is pending. */
    long probedAtUs = Long.MIN_VALUE;

    long cooldownUntilUs = Long.MIN_VALUE;

    /** A cold or newly listed server gets no request before this time. */
    long admitAtUs = Long.MIN_VALUE;

    ServerState(String id) {
        this.id = id;
        this.hashOrder = id.hashCode() * 0x9E3779B1;
    }

    /** Returns the latency per request in flight here; 0 while unknown. */
    double unitLatencyUs() {
        return loadSum > 0 ? latencySumUs / loadSum : 0;
    }
}
