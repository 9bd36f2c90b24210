package passhatch.distribution;

/** Intervals and limits of the protocol, in microseconds. */
final class Timing {

    /** Interval between two appends of a leader to each replica. */
    static final long HEARTBEAT_INTERVAL_US = 250_000;

    /** Time after which unconfirmed data is sent again; above the round trip between regions. */
    static final long RETRY_DELAY_US = 300_000;

    /** Interval between two polls of a follower. */
    static final long POLL_INTERVAL_US = 500_000;

    /** Time after which a poll without a reply is repeated. */
    static final long POLL_RETRY_DELAY_US = 250_000;

    /** Minimum time between requests for the rest of a snapshot after a gap. */
    static final long MIN_SNAPSHOT_RETRY_INTERVAL_US = 50_000;

    /**
     * Time without a reply after which a follower leaves its source: a poll and three repetitions,
     * so that loss seldom causes it.
     */
    static final long SOURCE_TIMEOUT_US = 1_400_000;

    /**
     * Age of a source's state above which a follower leaves it for the next one. Above the sum of
     * heartbeat, poll and the latency between regions at a relay, with some loss.
     */
    static final long MAX_SOURCE_AGE_US = 3_000_000;

    /**
     * Time from leaving the preferred source to trying it again, randomized by half of it in both
     * directions.
     */
    static final long PREFERRED_SOURCE_RETRY_DELAY_US = 30_000_000;

    /** Time without a poll after which a source removes a follower. */
    static final long FOLLOWER_EXPIRY_US = 10_000_000;

    /** Maximum delay before a committed version is written to a replica's disk. */
    static final long COMMIT_FLUSH_INTERVAL_US = 1_000_000;

    private Timing() {}
}
