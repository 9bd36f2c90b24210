package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;

/**
 * The body of a request, from its client's connection to a backend's. A short one is kept, so it
 * may be sent more than once. A long one goes to one backend as it comes, and what has gone cannot
 * be sent again.
 */
public final class RequestBody {

    /** A body of up to this size is kept. */
    public static final int MAX_REPLAYABLE_BYTES = 1 << 16;

    /** There is none longer than this, in answers neither. */
    public static final int MAX_BYTES = 1 << 25;

    private final EventLoop loop;
    private final BufferBudget budget;
    private final long declaredLength;
    private final Relay.Source source;
    private final BufferedBytes buffered;
    private long size;
    private boolean ended;

    /** Its bytes have begun to go to a backend, or nobody wants them any more. */
    private boolean consumed;

    private Relay relay;

    /**
     * A body of which nothing has come yet.
     *
     * @param declaredLength its length as its head says, or -1
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

    /** The length that its head declares, or -1 where it tells none. */
    public long declaredLength() {
        return declaredLength;
    }

    /** How much has come so far. */
    public long size() {
        return size;
    }

    public boolean ended() {
        return ended;
    }

    /** Whether it is too long to be kept, as far as it has come. */
    public boolean isLong() {
        return size > MAX_REPLAYABLE_BYTES;
    }

    /** Whether a backend may still be sent all of it. */
    public boolean canBeSent() {
        return !consumed;
    }

    /** All of a short body, once it has ended. */
    public byte[] replayableBytes() {
        return buffered.copy();
    }

    /** Bytes that came from the client; they stay the caller's. */
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

    /** The client has sent all of it. */
    public void end() {
        ended = true;
        if (relay != null) {
            relay.finish();
        }
    }

    /** Sends a long body to a backend from its first byte on, after the head. */
    public void sendTo(Channel backend, Relay.Listener listener) {
        consumed = true;
        relay = new Relay(loop, budget, source, backend, listener);
        relay.forward(Unpooled.wrappedBuffer(buffered.take()));
        if (ended && relay != null) {
            relay.finish();
        }
    }

    /** The backend that it went to takes no more of it. */
    public void stopSending() {
        if (relay != null) {
            relay.stop();
            relay = null;
            source.setReading(true);
        }
    }

    /** Nobody wants it any more; what still comes is dropped. */
    public void drop() {
        consumed = true;
        stopSending();
        buffered.drop();
        source.setReading(true);
    }
}
