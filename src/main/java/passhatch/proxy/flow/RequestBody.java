package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;

/**
 * The body of a request on its way from a client to a backend. A short one is buffered, so it can
 * be sent more than once. A long one is streamed to one backend, and the part that has been sent
 * cannot be sent again.
 */
public final class RequestBody {

    /** A body of up to this size in bytes is buffered. */
    public static final int MAX_REPLAYABLE_BYTES = 1 << 16;

    /** Maximum size of a body in bytes, of a response too. */
    public static final int MAX_BYTES = 1 << 25;

    private final EventLoop loop;
    private final BufferBudget budget;
    private final long declaredLength;
    private final Relay.Source source;
    private final BufferedBytes buffered;
    private long size;
    private boolean ended;

    /** The body has begun to be sent to a backend, or is no longer needed. */
    private boolean consumed;

    private Relay relay;

    /**
     * Creates an empty body.
     *
     * @param declaredLength its length in bytes according to its head, or -1
     * @param source the client's connection
     */
    public RequestBody(
            EventLoop loop, BufferBudget budget, long declaredLength, Relay.Source source) {
        this.loop = loop;
        this.budget = budget;
        this.buffered = new BufferedBytes(budget);
        this.declaredLength = declaredLength;
        this.source = source;
    }

    /** Returns the length in bytes that the head declares, or -1 if it declares none. */
    public long declaredLength() {
        return declaredLength;
    }

    /** Returns the number of bytes received so far. */
    public long size() {
        return size;
    }

    public boolean ended() {
        return ended;
    }

    /** Whether more bytes were received than can be buffered. */
    public boolean isLong() {
        return size > MAX_REPLAYABLE_BYTES;
    }

    /** Whether the whole body can still be sent to a backend. */
    public boolean canBeSent() {
        return !consumed;
    }

    /** Returns the whole of a short body, once it is complete. */
    public byte[] replayableBytes() {
        return buffered.copy();
    }

    /** Adds bytes from the client; the caller keeps the ownership of the buffer. */
    public void add(ByteBuf bytes) {
        size += bytes.readableBytes();
        if (relay != null) {
            relay.forward(bytes.retain());
        } else if (!consumed) {
            buffered.add(bytes);
            if (isLong()) {
                source.setReading(false);
            }
        }
    }

    /** The client has sent the whole body. */
    public void end() {
        ended = true;
        if (relay != null) {
            relay.finish();
        }
    }

    /**
     * Streams a long body to a backend from its first byte; the head must have been written before.
     */
    public void sendTo(Channel backend, Relay.Listener listener) {
        consumed = true;
        relay = new Relay(loop, budget, source, backend, listener);
        relay.forward(Unpooled.wrappedBuffer(buffered.take()));
        if (ended && relay != null) {
            relay.finish();
        }
    }

    /** Stops sending to the backend; further bytes are read and dropped. */
    public void stopSending() {
        if (relay != null) {
            relay.stop();
            relay = null;
            source.setReading(true);
        }
    }

    /** Drops the body, as it is no longer needed; what still arrives is dropped too. */
    public void drop() {
        consumed = true;
        stopSending();
        buffered.drop();
        source.setReading(true);
    }
}
