package passhatch.fleet;

/**
 * A token bucket that limits the bytes sent. It holds at most the bytes of one second and refills
 * steadily.
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
     * holds too few.
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

    /** Puts bytes that were taken but not sent back into the bucket. */
    void refund(int bytes) {
        availableBytes += bytes;
    }
}
