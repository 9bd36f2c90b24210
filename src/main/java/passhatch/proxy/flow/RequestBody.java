package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
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

    /**
     * Maximum number of bytes that are buffered before the body is known to be long: the read that
     * exceeds the limit is buffered in full.
     */
    private static final int MAX_BUFFERED_BYTES = MAX_REPLAYABLE_BYTES + Relay.MAX_READ_BYTES;

    private final EventLoop loop;
    private final BufferBudget budget;
    private final long declaredLength;
    private final Relay.Source source;
    private final BufferedBytes buffered;
    private BodyAdmission.Reservation reservation;
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
        this.buffered = new BufferedBytes(budget, Math.min(declaredLength, MAX_BUFFERED_BYTES));
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

    /**
     * Reserves space for the part of the body that has to be buffered. The source is paused until
     * the body is admitted.
     *
     * @param bodyExpected whether the request has a body
     * @param onAdmitted called later if the body has to wait and is then admitted
     */
    public void reserve(BodyAdmission admission, boolean bodyExpected, Runnable onAdmitted) {
        long maxBytes =
                !bodyExpected
                        ? 0
                        : declaredLength < 0
                                ? MAX_BUFFERED_BYTES
                                : Math.min(declaredLength, MAX_BUFFERED_BYTES);
        reservation = admission.reserve(maxBytes, onAdmitted);
        if (!reservation.admitted()) {
            setReading(false);
        }
    }

    /** Returns whether the body may be read from the client. */
    public boolean admitted() {
        return reservation != null && reservation.admitted();
    }

    /** Returns all bytes of a short body, which must be complete, without copying them. */
    public ByteBuf replayableBytes() {
        return buffered.view();
    }

    /** Adds bytes from the client; the caller keeps the ownership of the buffer. */
    public void add(ByteBuf bytes) {
        size += bytes.readableBytes();
        if (relay != null) {
            relay.forward(bytes.retain());
        } else if (!consumed) {
            long chargedBefore = buffered.chargedBytes();
            buffered.add(bytes);
            useReservation(buffered.chargedBytes() - chargedBefore);
            if (isLong()) {
                setReading(false);
            }
        }
    }

    private void useReservation(long bytes) {
        if (reservation != null) {
            reservation.use(bytes);
        }
    }

    private void releaseReservation() {
        if (reservation != null) {
            reservation.release();
        }
    }

    /** Marks the body as complete; called when the client has sent all of it. */
    public void end() {
        ended = true;
        releaseReservation();
        if (relay != null) {
            relay.finish();
        }
    }

    /**
     * Streams a long body to a backend from its first byte; the head must have been written before.
     */
    public void sendTo(Channel backend, Relay.Listener listener) {
        consumed = true;
        releaseReservation();
        relay = new Relay(loop, budget, this::setReading, backend, listener);
        relay.start(buffered.takeView());
        if (ended && relay != null) {
            relay.finish();
        }
    }

    /** Stops sending to the backend; further bytes are read and dropped. */
    public void stopSending() {
        if (relay != null) {
            relay.stop();
            relay = null;
            setReading(true);
        }
    }

    /** Drops the body when it is no longer needed; bytes that still arrive are dropped too. */
    public void drop() {
        consumed = true;
        releaseReservation();
        stopSending();
        buffered.drop();
        setReading(true);
    }

    /** Pauses or resumes the source, unless it already delivers the next request. */
    private void setReading(boolean reading) {
        if (!ended) {
            source.setReading(reading);
        }
    }
}
