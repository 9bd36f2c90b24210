package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;

/**
 * The body of a request on its way from a client to a backend. A short body is buffered, so it can
 * be sent more than once. A long body is streamed to one backend, and the part that has been sent
 * cannot be sent again.
 */
public final class RequestBody {

    /** Maximum size in bytes of a body that is buffered and can be sent again. */
    public static final int MAX_REPLAYABLE_BYTES = 1 << 16;

    /** Maximum size in bytes of the body of a request or a response. */
    public static final int MAX_BYTES = 1 << 25;

    private final EventLoop loop;
    private final BufferBudget budget;
    private final long declaredLength;
    private final Relay.Source source;
    private final BufferedBytes buffered;
    private long size;
    private boolean ended;

    /** Whether a part of the body has been sent to a backend, or the body is no longer needed. */
    private boolean consumed;

    private Relay relay;

    /**
     * Creates an empty body.
     *
     * @param declaredLength the length in bytes that the request's head declares, or -1
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

    /**
     * Returns the length of the body in bytes that the request's head declares, or -1 if it
     * declares none.
     */
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

    /**
     * Returns whether the body is long: more than {@link #MAX_REPLAYABLE_BYTES} bytes were
     * received, so it is streamed.
     */
    public boolean isLong() {
        return size > MAX_REPLAYABLE_BYTES;
    }

    /** Returns whether the whole body can still be sent to a backend. */
    public boolean canBeSent() {
        return !consumed;
    }

    /** Returns all bytes of a short body, which must be complete. */
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

    /** Marks the body as complete; called when the client has sent all of it. */
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

    /** Drops the body when it is no longer needed; bytes that still arrive are dropped too. */
    public void drop() {
        consumed = true;
        stopSending();
        buffered.drop();
        source.setReading(true);
    }
}
