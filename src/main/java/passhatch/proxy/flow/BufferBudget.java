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

    /** Counts further buffered bytes; a negative number removes them. */
    public void add(long bytes) {
        bufferedBytes += bytes;
    }

    void remove(long bytes) {
        bufferedBytes -= bytes;
    }

    /**
     * Returns whether too many bytes are buffered, so that no more should be read from a source of
     * which some bytes are buffered.
     */
    public boolean exceeded() {
        return bufferedBytes > maxBytes;
    }

    /** Returns the number of buffered bytes. */
    public long bufferedBytes() {
        return bufferedBytes;
    }
}
