package passhatch.fleet;

/** Bytes that may be sent: a second's worth at once, and then as they come back. */
final class RateLimiter {

    /** What is only useful leaves so much of a second's worth to what is needed. */
    private static final double RESERVED_FRACTION = 0.25;

    private final long bytesPerSecond;
    private double availableBytes;
    private long lastUs;

    RateLimiter(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        this.availableBytes = bytesPerSecond;
    }

    /** Takes the bytes of a datagram, or says that there are not as many. */
    boolean tryAcquire(long nowUs, int bytes, boolean essential) {
        availableBytes =
                Math.min(bytesPerSecond, availableBytes + (nowUs - lastUs) * 1e-6 * bytesPerSecond);
        lastUs = nowUs;
        if (availableBytes - bytes < (essential ? 0 : RESERVED_FRACTION * bytesPerSecond)) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** Bytes that were taken and not sent. */
    void release(int bytes) {
        availableBytes += bytes;
    }
}
