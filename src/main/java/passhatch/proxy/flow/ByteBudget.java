package passhatch.proxy.flow;

/**
 * The bytes of bodies that this process holds on their way, over all connections, and how many it
 * may.
 */
public final class ByteBudget {

    private final long most;
    private long held;

    public ByteBudget(long most) {
        this.most = most;
    }

    /** Counts bytes that are held from now on, or with a negative figure no more. */
    public void add(long bytes) {
        held += bytes;
    }

    void remove(long bytes) {
        held -= bytes;
    }

    /** Whether nothing more should be read that something held stands before. */
    public boolean over() {
        return held > most;
    }

    /** How many are held now. */
    public long held() {
        return held;
    }
}
