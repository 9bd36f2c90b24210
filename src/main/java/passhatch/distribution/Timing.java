package passhatch.distribution;

/** Intervals and limits of the protocol, in microseconds. */
final class Timing {

    /** Interval at which a leader sends heartbeats to each of the other replicas. */
    static final long HEARTBEAT_INTERVAL_US = 250_000;

    /**
     * Time after which unconfirmed data is sent again; longer than the round trip between regions.
     */
    static final long RETRY_DELAY_US = 300_000;

    /** Interval at which a follower polls its source. */
    static final long POLL_INTERVAL_US = 500_000;

    /** Time after which a poll without a reply is repeated. */
    static final long POLL_RETRY_DELAY_US = 250_000;

    /**
     * Minimum time from a follower's last poll until it polls again because a part of a snapshot is
     * missing.
     */
    static final long MIN_SNAPSHOT_RETRY_INTERVAL_US = 50_000;

    /**
     * Time without a reply after which a follower switches to another source. A follower sends a
     * poll and repeats it three times in this time, so that lost datagrams seldom cause a switch.
     */
    static final long SOURCE_TIMEOUT_US = 1_400_000;

    /**
     * Maximum age of a source's state, which is the time since the state was last known to be
     * current. If the age is higher, the follower switches to the next source. The limit is above
     * the age that a relay's state can reach when some datagrams are lost: the sum of the heartbeat
     * interval, the poll interval and the latency between regions.
     */
    static final long MAX_SOURCE_AGE_US = 3_000_000;

    /**
     * Average time from a switch away from the preferred source until the follower tries the
     * preferred source again. The actual time is random, between 0.5 and 1.5 times this value.
     */
    static final long PREFERRED_SOURCE_RETRY_DELAY_US = 30_000_000;

    /** Time without a poll from a follower after which the source removes that follower. */
    static final long FOLLOWER_EXPIRY_US = 10_000_000;

    /**
     * Interval at which a replica writes the version of the last committed entry to its disk if
     * that version has advanced.
     */
    static final long COMMIT_FLUSH_INTERVAL_US = 1_000_000;

    private Timing() {}
}
