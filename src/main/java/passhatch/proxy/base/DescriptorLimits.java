package passhatch.proxy.base;

/**
 * Divides the file descriptors of this process between clients and backends. Backends need only as
 * many connections as there are open requests, and some idle ones. All others are for clients, as
 * thousands may connect and only a part of them ever sends a request.
 */
public final class DescriptorLimits {

    /** For the JVM's own files, the selector, the listeners and discovery. */
    private static final int RESERVED_DESCRIPTORS = 24;

    /**
     * The fraction for connections to backends: requests take a third at most, and some are idle.
     */
    private static final double BACKEND_FRACTION = 0.375;

    /** Above this fraction of the allowed connections, descriptors are scarce. */
    private static final double SCARCE_FRACTION = 0.75;

    private final int reserved;
    private int maxDescriptors;
    private int clientConnections;
    private int backendConnections;

    /**
     * Creates counters at 0.
     *
     * @param maxControlConnections maximum number of open control connections
     */
    public DescriptorLimits(int maxControlConnections) {
        this.reserved = RESERVED_DESCRIPTORS + maxControlConnections;
    }

    /**
     * Sets how many descriptors this process may hold; connections beyond it are closed as new ones
     * arrive.
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

    /** Whether another connection must be closed before a new one to a backend is opened. */
    public boolean backendsFull() {
        return backendConnections >= (int) (maxDescriptors * BACKEND_FRACTION);
    }

    /** Whether more descriptors are held than allowed. */
    public boolean limitExceeded() {
        return clientConnections + backendConnections > maxDescriptors - reserved;
    }

    /** Whether descriptors are scarce, so that no unneeded connection should stay open. */
    public boolean scarce() {
        return clientConnections + backendConnections
                > (maxDescriptors - reserved) * SCARCE_FRACTION;
    }
}
