package passhatch.proxy.client;

/**
 * Limits the memory of heads of requests that have been received in part. While all of them
 * together exceed the limit, each connection may use only its share of it.
 */
final class HeadBudget {

    private final long maxBytes;
    private long bytes;

    /** Creates a budget from which nothing is used. */
    HeadBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds the given number, which may be negative, to the bytes in use. */
    void add(long difference) {
        bytes += difference;
    }

    /**
     * Returns whether a connection uses too much.
     *
     * @param ownBytes the bytes of the head that this connection receives
     * @param connections the number of open connections, including this one
     */
    boolean exceededBy(long ownBytes, int connections) {
        return bytes > maxBytes && ownBytes > maxBytes / connections;
    }
}
