package passhatch.distribution;

/** Intervals and limits of the protocol, in microseconds. */
final class Timing {

    /** Interval at which a leader sends heartbeats to each replica. */
    static final long HEARTBEAT_INTERVAL_US = 250_000;

    /**
     * Time after which unconfirmed data is sent again; longer than the round trip between regions.
     */
    static final long RETRY_DELAY_US = 300_000;

    /** Interval at which a follower polls its source. */
    static final long POLL_INTERVAL_US = 500_000;

    /** Time after which a poll without a reply is repeated. */
    static final long POLL_RETRY_DELAY_US = 250_000;

    /** Minimum time between two polls for the rest of a snapshot when a part is missing. */
    static final long MIN_SNAPSHOT_RETRY_INTERVAL_US = 50_000;

    /**
     * Time without a reply after which a follower switches to another source. A follower sends a
     * poll and repeats it three times in this time, so that lost datagrams seldom cause a switch.
     */
    static final long SOURCE_TIMEOUT_US = 1_400_000;

    /**
     * Age of a source's state above which a follower switches to the next source. At a relay that
     * loses some datagrams the age can reach the sum of the heartbeat interval, the poll interval
     * and the latency between regions; this limit is higher.
     */
    static final long MAX_SOURCE_AGE_US = 3_000_000;

    /**
     * Average time from a switch away from the preferred source until the follower tries it again.
     * The actual time is random, from half of this to one and a half times this.
     */
    static final long PREFERRED_SOURCE_RETRY_DELAY_US = 30_000_000;

    /** Time without a poll after which a source removes a follower. */
    static final long FOLLOWER_EXPIRY_US = 10_000_000;

    /** Maximum delay before a committed version is written to a replica's disk. */
    static final long COMMIT_FLUSH_INTERVAL_US = 1_000_000;

    private Timing() {}
}
