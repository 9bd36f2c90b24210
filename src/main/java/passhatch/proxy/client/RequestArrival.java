package passhatch.proxy.client;

import io.netty.channel.socket.SocketChannel;
import java.util.function.LongSupplier;
import passhatch.proxy.flow.RequestBody;

/**
 * Bounds the time at which the last byte of one request arrived. The client's time runs from there,
 * even if the proxy reads the byte later. All times are in microseconds.
 */
final class RequestArrival {

    /** The largest send buffer that Linux gives a socket by itself ({@code tcp_wmem}), in bytes. */
    private static final long MAX_SEND_BUFFER_BYTES = 1 << 22;

    private final SocketChannel channel;
    private final ReadAhead readAhead;
    private final LongSupplier clockUs;
    private final RequestBody body;

    /**
     * Latest time at which more of the body was missing than the systems of client and proxy can
     * hold, so that the client cannot have sent all of it.
     */
    private long incompleteAtUs = Long.MIN_VALUE;

    /** Creates a bound for the request with the given body, which arrives on the given channel. */
    RequestArrival(
            SocketChannel channel, ReadAhead readAhead, LongSupplier clockUs, RequestBody body) {
        this.channel = channel;
        this.readAhead = readAhead;
        this.clockUs = clockUs;
        this.body = body;
    }

    /**
     * Records how much of the body is missing. Must be called before bytes are added to the body.
     * If the body has no declared length, the client may have sent all of it at any time.
     */
    void noteMissingBytes() {
        long missingBytes = body.declaredLength() - body.size();
        if (missingBytes > MAX_SEND_BUFFER_BYTES
                && channel.isOpen()
                && missingBytes > maxUnforwardedBytes()) {
            incompleteAtUs = clockUs.getAsLong();
        }
    }

    /** Returns how many bytes that a client has sent may not have been forwarded yet. */
    private long maxUnforwardedBytes() {
        int receiveBufferBytes = channel.config().getReceiveBufferSize();
        return MAX_SEND_BUFFER_BYTES + receiveBufferBytes + HttpFrontend.MAX_READ_AHEAD_BYTES;
    }

    /** Returns how long the last byte may have waited if it was among those forwarded last. */
    long forwardedWaitUs() {
        return waitSinceUs(readAhead.forwardedArrivalUs());
    }

    /** Returns how long the last byte may have waited if it has not been forwarded. */
    long unforwardedWaitUs() {
        noteMissingBytes();
        return waitSinceUs(readAhead.unforwardedArrivalUs());
    }

    private long waitSinceUs(long arrivalUs) {
        return Math.max(0, clockUs.getAsLong() - Math.max(arrivalUs, incompleteAtUs));
    }

    /**
     * Returns whether a large or unknown part of the body has not been received yet. The next
     * request on the connection could not be read before it, however long that takes.
     */
    boolean muchBodyMissing() {
        return !body.ended()
                && (body.declaredLength() < 0
                        || body.declaredLength() - body.size() > RequestBody.MAX_REPLAYABLE_BYTES);
    }
}
