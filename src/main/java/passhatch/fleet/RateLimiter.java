package passhatch.fleet;

/** A token bucket for the bytes sent: it holds at most one second's worth and refills steadily. */
final class RateLimiter {

    /** Fraction of one second's worth that is reserved for essential datagrams. */
    private static final double RESERVED_FRACTION = 0.25;

    private final long bytesPerSecond;
    private double availableBytes;
    private long lastRefillUs;

    RateLimiter(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        this.availableBytes = bytesPerSecond;
    }

    /** Takes the bytes of a datagram from the bucket; returns false if there are too few. */
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

    /** Returns bytes that were taken and not sent. */
    void refund(int bytes) {
        availableBytes += bytes;
    }
}
