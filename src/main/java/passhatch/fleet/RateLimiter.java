package passhatch.fleet;

/**
 * A token bucket that limits how many bytes are sent. It holds at most the bytes that may be sent
 * in one second, and refills steadily.
 */
final class RateLimiter {

    /** Fraction of the bucket's capacity that is reserved for essential datagrams. */
    private static final double RESERVED_FRACTION = 0.25;

    private final long bytesPerSecond;
    private double availableBytes;
    private long lastRefillUs;

    RateLimiter(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        this.availableBytes = bytesPerSecond;
    }

    /**
     * Takes the bytes of a datagram from the bucket. Returns false and takes nothing if the bucket
     * holds too few bytes. If the datagram is not essential, the reserved fraction must remain in
     * the bucket.
     */
    boolean tryAcquire(long nowUs, int bytes, boolean essential) {
        availableBytes =
                Math.min(
                        bytesPerSecond,
                        availableBytes + (nowUs - lastRefillUs) * 1e-6 * bytesPerSecond);
        lastRefillUs = nowUs;
        if (availableBytes - bytes < (essential ? 0 : RESERVED_FRACTION * bytesPerSecond)) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** Returns to the bucket the bytes that were taken but not needed. */
    void refund(int bytes) {
        availableBytes += bytes;
    }
}
