package passhatch.distribution;

/** Periods and bounds of the protocol, in microseconds unless said otherwise. */
final class Timing {

    /** Between two appends of a leader to each replica. */
    static final long HEARTBEAT_INTERVAL_US = 250_000;

    /** What was not confirmed for so long is sent again; above the round trip between regions. */
    static final long RETRY_DELAY_US = 300_000;

    /** Between two polls of a follower. */
    static final long POLL_INTERVAL_US = 500_000;

    /** A poll without an answer is repeated after this time. */
    static final long POLL_RETRY_DELAY_US = 250_000;

    /** After a gap in a snapshot the rest is asked for again, so often at most. */
    static final long MIN_SNAPSHOT_RETRY_INTERVAL_US = 50_000;

    /**
     * A source that has not answered for so long is left: a poll and three repetitions, so that
     * loss seldom does it.
     */
    static final long SOURCE_TIMEOUT_US = 1_400_000;

    /**
     * A source that has not known its state to be current for so long is left for the next one.
     * Above what heartbeat, poll and the way between regions add up to at a relay, with some loss.
     */
    static final long MAX_SOURCE_AGE_US = 3_000_000;

    /** From leaving the preferred source to trying it again, half of it more or less by chance. */
    static final long PREFERRED_SOURCE_RETRY_US = 30_000_000;

    /** A follower that has not polled for so long is forgotten by its source. */
    static final long FOLLOWER_EXPIRY_US = 10_000_000;

    /** Committed versions reach a replica's disk so late at most, unless an append takes them. */
    static final long COMMIT_FLUSH_INTERVAL_US = 1_000_000;

    private Timing() {}
}
