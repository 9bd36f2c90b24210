package passhatch.proxy.flow;

/**
 * Counts the bytes of bodies that this process has buffered over all connections, and their limit.
 */
public final class BufferBudget {

    private final long maxBytes;
    private long bufferedBytes;

    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts further buffered bytes; a negative number removes them. */
    public void add(long bytes) {
        bufferedBytes += bytes;
    }

    void remove(long bytes) {
        bufferedBytes -= bytes;
    }

    /** Whether too much is buffered, so that a source with buffered bytes should not be read. */
    public boolean exceeded() {
        return bufferedBytes > maxBytes;
    }

    /** Returns the number of buffered bytes. */
    public long bufferedBytes() {
        return bufferedBytes;
    }
}
