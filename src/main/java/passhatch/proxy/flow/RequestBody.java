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
    public static final int MOST_KEPT = 1 << 16;

    /** There is none longer than this, in answers neither. */
    public static final int MOST = 1 << 25;

    private final EventLoop loop;
    private final ByteBudget budget;
    private final long declared;
    private final Relay.Source source;
    private final HeldBytes held;
    private long size;
    private boolean ended;

    /** Its bytes have begun to go to a backend, or nobody wants them any more. */
    private boolean spent;

    private Relay relay;

    /**
     * A body of which nothing has come yet.
     *
     * @param declared its length as its head says, or -1
     * @param source the client's connection
     */
    public RequestBody(EventLoop loop, ByteBudget budget, long declared, Relay.Source source) {
        this.loop = loop;
        this.budget = budget;
        this.held = new HeldBytes(budget);
        this.declared = declared;
        this.source = source;
    }

    /** The length that its head declares, or -1 where it tells none. */
    public long declared() {
        return declared;
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
        return size > MOST_KEPT;
    }

    /** Whether a backend may still be sent all of it. */
    public boolean canBeSent() {
        return !spent;
    }

    /** All of a short body, once it has ended. */
    public byte[] kept() {
        return held.copy();
    }

    /** Bytes that came from the client; they stay the caller's. */
    public void add(ByteBuf bytes) {
        size += bytes.readableBytes();
        if (relay != null) {
            relay.pass(bytes.retain());
        } else if (!spent) {
            held.add(bytes);
            if (isLong()) {
                source.read(false);
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
        spent = true;
        relay = new Relay(loop, budget, source, backend, listener);
        relay.pass(Unpooled.wrappedBuffer(held.take()));
        if (ended && relay != null) {
            relay.finish();
        }
    }

    /** The backend that it went to takes no more of it. */
    public void cut() {
        if (relay != null) {
            relay.stop();
            relay = null;
            source.read(true);
        }
    }

    /** Nobody wants it any more; what still comes is dropped. */
    public void drop() {
        spent = true;
        cut();
        held.drop();
        source.read(true);
    }
}
