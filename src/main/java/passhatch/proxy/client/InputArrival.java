package passhatch.proxy.client;

/**
 * Bounds the time at which the unread input of a connection arrived. While the proxy reads a
 * connection too slowly or not at all, the systems on both sides take the input from the client,
 * and nothing tells when they did. The proxy has read everything whenever the event loop polls the
 * connection and finds no input, and when a request ends with the last byte that can be read.
 * Whatever is read later arrived after the last such moment.
 */
final class InputArrival {

    /** Value of a time at which input started to wait if no input is known to wait. */
    private static final long NOT_WAITING = Long.MAX_VALUE;

    /**
     * The time of an event on an event loop.
     *
     * @param nowUs the time in microseconds
     * @param unreadUs how long the loop was stalled, in microseconds
     * @param poll number of the loop's last poll
     */
    record LoopTime(long nowUs, long unreadUs, long poll) {}

    private boolean reading = true;

    /** The last poll that found input, or after which reading was resumed. */
    private long lastActivePoll;

    private long waitingSinceUs = NOT_WAITING;

    /** The latest time at which the connection is known to have been open without unread input. */
    private long emptyAtUs;

    /**
     * Records that the event loop polls the connection from now on.
     *
     * @param connectedNotBeforeUs the earliest time at which the peer may have connected
     */
    void onConnected(LoopTime time, long connectedNotBeforeUs) {
        lastActivePoll = time.poll();
        emptyAtUs = connectedNotBeforeUs;
    }

    /** Sets whether the connection is read from now on. */
    void setReading(boolean on, LoopTime time) {
        if (reading == on) {
            return;
        }
        if (!on) {
            waitingSinceUs = earliestUs(time);
        }
        reading = on;
        lastActivePoll = time.poll();
    }

    /** Records a read and returns the earliest time at which its bytes may have arrived. */
    long onRead(LoopTime time) {
        waitingSinceUs = earliestUs(time);
        lastActivePoll = time.poll();
        return waitingSinceUs;
    }

    /** Records that the last read returned all input, and that a request ended with it. */
    void onRequestsRead() {
        waitingSinceUs = NOT_WAITING;
    }

    /** Records that a read outside the polls of the event loop has found no more input. */
    void onDrained(LoopTime time) {
        waitingSinceUs = time.nowUs();
        emptyAtUs = time.nowUs();
        lastActivePoll = time.poll();
    }

    /**
     * Returns how long ago the connection is known to have been open without unread input, or not
     * to have been established yet.
     */
    long emptyAgeUs(LoopTime time) {
        earliestUs(time);
        return time.nowUs() - emptyAtUs;
    }

    /** Returns the earliest time at which input that has not been read may have arrived. */
    long earliestUs(LoopTime time) {
        // What the last poll found may not have been read yet, but all polls before it count.
        if (reading && time.poll() > lastActivePoll + 1) {
            waitingSinceUs = NOT_WAITING;
            emptyAtUs = time.nowUs() - time.unreadUs();
        }
        return Math.min(waitingSinceUs, time.nowUs() - time.unreadUs());
    }
}
