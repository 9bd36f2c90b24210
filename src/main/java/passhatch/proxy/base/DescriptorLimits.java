package passhatch.proxy.base;

/**
 * Divides the file descriptors of this process between clients and backends. Backends need only one
 * connection for each open request, and some idle ones. All other descriptors are for clients:
 * thousands may connect, though only a part of them ever sends a request.
 */
public final class DescriptorLimits {

    /** Descriptors kept for the JVM's own files, the selector, the listeners and discovery. */
    private static final int RESERVED_DESCRIPTORS = 24;

    /**
     * Fraction of the descriptors that connections to backends may use: open requests take a third
     * at most, and the remainder is for idle connections.
     */
    private static final double BACKEND_FRACTION = 0.375;

    /** Above this fraction of the allowed connections, descriptors are scarce. */
    private static final double SCARCE_FRACTION = 0.75;

    private final int reserved;
    private int maxDescriptors;
    private int clientConnections;
    private int backendConnections;

    /**
     * Creates limits with no open connection counted yet.
     *
     * @param maxControlConnections maximum number of open control connections
     */
    public DescriptorLimits(int maxControlConnections) {
        this.reserved = RESERVED_DESCRIPTORS + maxControlConnections;
    }

    /**
     * Sets the maximum number of descriptors of this process. Connections in excess of it are
     * closed as new ones arrive.
     */
    public void setLimit(int newLimit) {
        maxDescriptors = newLimit;
    }

    public void addClients(int delta) {
        clientConnections += delta;
    }

    public void addBackends(int delta) {
        backendConnections += delta;
    }

    public int clientConnections() {
        return clientConnections;
    }

    public int backendConnections() {
        return backendConnections;
    }

    /**
     * Returns whether connections to backends use all descriptors intended for them, so that one of
     * these connections must be closed before another is opened.
     */
    public boolean backendsFull() {
        return backendConnections >= (int) (maxDescriptors * BACKEND_FRACTION);
    }

    /** Returns whether this process holds more descriptors than allowed. */
    public boolean limitExceeded() {
        return clientConnections + backendConnections > maxDescriptors - reserved;
    }

    /** Returns whether descriptors are scarce, so that no unneeded connection should stay open. */
    public boolean scarce() {
        return clientConnections + backendConnections
                > (maxDescriptors - reserved) * SCARCE_FRACTION;
    }
}
