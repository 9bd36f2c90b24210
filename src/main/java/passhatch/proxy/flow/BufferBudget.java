package passhatch.proxy.flow;

/**
 * Counts the bytes that this process holds in memory for all connections together, and compares
 * them with a limit. The count covers request bodies, including space that is reserved for bytes
 * still to come, responses, and input that was read ahead.
 */
public final class BufferBudget {

    private final long maxBytes;
    private long bufferedBytes;
    private Runnable releaseListener = () -> {};

    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sets the action that runs after the count has fallen. */
    void setReleaseListener(Runnable listener) {
        releaseListener = listener;
    }

    /** Adds the given number to the count of buffered bytes. */
    public void add(long bytes) {
        bufferedBytes += bytes;
    }

    /** Subtracts the given number from the count of buffered bytes. */
    public void remove(long bytes) {
        bufferedBytes -= bytes;
        if (bytes > 0) {
            releaseListener.run();
        }
    }

    /**
     * Returns whether more bytes are buffered than the limit allows. As long as that holds, a
     * source that already has buffered bytes should not be read.
     */
    public boolean exceeded() {
        return bufferedBytes > maxBytes;
    }

    /** Returns the number of buffered bytes. */
    public long bufferedBytes() {
        return bufferedBytes;
    }
}
