package passhatch.proxy.flow;

/**
 * The bytes of bodies that this process holds on their way, over all connections, and how many it
 * may.
 */
public final class BufferBudget {

    private final long maxBytes;
    private long bufferedBytes;

    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts bytes that are held from now on, or with a negative figure no more. */
    public void add(long bytes) {
        bufferedBytes += bytes;
    }

    void remove(long bytes) {
        bufferedBytes -= bytes;
    }

    /** Whether nothing more should be read that something held stands before. */
    public boolean exceeded() {
        return bufferedBytes > maxBytes;
    }

    /** How many are held now. */
    public long bufferedBytes() {
        return bufferedBytes;
    }
}
