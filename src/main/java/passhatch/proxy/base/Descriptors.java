package passhatch.proxy.base;

/**
 * How the descriptors of this process are shared out between clients and backends. Connections to
 * backends are only as many as requests that are out and some that idle; all others are the
 * clients', as thousands may come and only a part of them ever sends a request.
 */
public final class Descriptors {

    /** For the JVM's own files, the selector, the listeners and discovery. */
    private static final int OWN = 24;

    /** The part for connections to backends: requests take a third at most, and some idle. */
    private static final double BACKEND_PART = 0.375;

    /** Above this part of its connections a crowd is about. */
    private static final double CROWDED_PART = 0.75;

    private final int reserved;
    private int limit;
    private int clients;
    private int backends;

    /**
     * None are held yet.
     *
     * @param callers how many of operators' calls may be open at a time
     */
    public Descriptors(int callers) {
        this.reserved = OWN + callers;
    }

    /** How many this process may hold from now on; those beyond go as new ones come. */
    public void limit(int most) {
        limit = most;
    }

    public void client(int change) {
        clients += change;
    }

    public void backend(int change) {
        backends += change;
    }

    public int clients() {
        return clients;
    }

    public int backends() {
        return backends;
    }

    /** Whether one more connection to a backend needs another closed first. */
    public boolean backendsFull() {
        return backends >= (int) (limit * BACKEND_PART);
    }

    /** Whether more are held than may be. */
    public boolean over() {
        return clients + backends > limit - reserved;
    }

    /** Whether room gets scarce, so that no connection should stay without need. */
    public boolean crowded() {
        return clients + backends > (limit - reserved) * CROWDED_PART;
    }
}
