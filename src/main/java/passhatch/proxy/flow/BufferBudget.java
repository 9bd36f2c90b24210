package passhatch.proxy.flow;

/**
 * Counts the bytes of bodies that this process has buffered for all connections together, and
 * compares them with a limit.
 */
public final class BufferBudget {

    private final long maxBytes;
    private long bufferedBytes;

    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds the given number to the count of buffered bytes; a negative number reduces the count.
     */
    public void add(long bytes) {
        bufferedBytes += bytes;
    }

    void remove(long bytes) {
        bufferedBytes -= bytes;
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
