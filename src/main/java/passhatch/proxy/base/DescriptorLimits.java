package passhatch.proxy.base;

/**
 * How the descriptors of this process are shared out between clients and backends. Connections to
 * backends are only as many as requests that are out and some that idle; all others are the
 * clients', as thousands may come and only a part of them ever sends a request.
 */
public final class DescriptorLimits {

    /** For the JVM's own files, the selector, the listeners and discovery. */
    private static final int RESERVED_FOR_PROCESS = 24;

    /** The part for connections to backends: requests take a third at most, and some idle. */
    private static final double BACKEND_FRACTION = 0.375;

    /** Above this part of its connections a crowd is about. */
    private static final double SCARCE_FRACTION = 0.75;

    private final int reserved;
    private int limit;
    private int clients;
    private int backends;

    /**
     * None are held yet.
     *
     * @param maxControlConnections how many of operators' calls may be open at a time
     */
    public DescriptorLimits(int maxControlConnections) {
        this.reserved = RESERVED_FOR_PROCESS + maxControlConnections;
    }

    /** How many this process may hold from now on; those beyond go as new ones come. */
    public void setLimit(int newLimit) {
        limit = newLimit;
    }

    public void addClients(int delta) {
        clients += delta;
    }

    public void addBackends(int delta) {
        backends += delta;
    }

    public int clients() {
        return clients;
    }

    public int backends() {
        return backends;
    }

    /** Whether one more connection to a backend needs another closed first. */
    public boolean backendsFull() {
        return backends >= (int) (limit * BACKEND_FRACTION);
    }

    /** Whether more are held than may be. */
    public boolean limitExceeded() {
        return clients + backends > limit - reserved;
    }

    /** Whether room gets scarce, so that no connection should stay without need. */
    public boolean scarce() {
        return clients + backends > (limit - reserved) * SCARCE_FRACTION;
    }
}
