package passhatch;

/** A server and its load, failures and latencies as seen by this copy. */
final class ServerState {
    final String id;

    /**
     * Hash of this server's id. Servers of the same zone are sorted by this hash, so that their
     * order is the same at every copy.
     */
    final int hashOrder;

    int zone;
    int group;
    int model;
    long startedAtUs;

    /** Whether the latest list has this server as {@link Balancer.ServerStatus#UP}. */
    boolean up;

    /** Whether this server is in {@link Logic}'s list of servers to which requests may be sent. */
    boolean listed;

    /**
     * Whether this server drains according to discovery. Its idle connections are closed when the
     * drain is notified, and after each outcome while this server drains.
     */
    boolean draining;

    /**
     * Number of this copy's attempts at this server that await a response. Attempts whose body is
     * still being sent do not count. The others do, even while this server drains or is not listed.
     */
    int inFlight;

    /** Number of this copy's attempts at this server whose body is still being sent. */
    int uploads;

    /**
     * Time that orders servers by turn, the lowest first: when this server was last assigned a
     * request, shifted to a later time if this server is slow and to an earlier time if it is
     * quick. Before the first request, the turn is taken from another server or drawn at random; a
     * random turn in this copy's zone is below all times.
     */
    long turnAtUs;

    int consecutiveFailures;

    /**
     * When an outcome last showed a working connection to this server; {@link Long#MIN_VALUE} after
     * a failed or broken connection.
     */
    long lastConnectedUs = Long.MIN_VALUE;

    /** Running mean of the fraction of errors among this server's responses, 0 to 1. */
    double errorRate;

    /**
     * Number of cooldowns that errors of this server have caused since its error rate was last low.
     */
    int errorCooldowns;

    /** Number of overdue attempts since this server's last response. */
    int overdueAttempts;

    /** Number of unanswered probes since the last probe that this server answered. */
    int unansweredProbes;

    /** Time until which this server is chosen only if all other servers are busy. */
    long demotedUntilUs = Long.MIN_VALUE;

    /**
     * Requests in flight as this server last reported them; valid until {@link
     * #reportValidUntilUs}.
     */
    int reportedLoad;

    long reportValidUntilUs = Long.MIN_VALUE;

    /** Exponentially decaying sum of the latencies of attempts at this server. */
    double latencySumUs;

    /**
     * Exponentially decaying sum of {@link Attempt#loadAtSend} over the same attempts as {@link
     * #latencySumUs}.
     */
    double loadSum;

    /** When {@link #latencySumUs} and {@link #loadSum} last changed. */
    long lastLatencySampleUs = Long.MIN_VALUE;

    /**
     * When the pending probe to this server was sent; {@link Long#MIN_VALUE} if no probe is
     * pending.
     */
    long probedAtUs = Long.MIN_VALUE;

    long cooldownUntilUs = Long.MIN_VALUE;

    /** Time before which this server gets no request because it is cold or newly listed. */
    long admitAtUs = Long.MIN_VALUE;

    ServerState(String id) {
        this.id = id;
        this.hashOrder = id.hashCode() * 0x9E3779B1;
    }

    /** Returns the mean latency per request in flight at this server; 0 while unknown. */
    double unitLatencyUs() {
        return loadSum > 0 ? latencySumUs / loadSum : 0;
    }
}
