package passhatch.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import passhatch.proxy.client.InputArrival.LoopTime;
import passhatch.proxy.flow.BufferBudget;

/**
 * Keeps reading from a client even while the proxy wants no more requests or body bytes from it,
 * because the proxy sees a disconnect only after it has read everything that the client sent
 * before. The input is buffered up to a limit. Beyond the limit, reading stops until input is
 * wanted again, and a disconnect is not seen until then.
 *
 * <p>Between two requests, input is forwarded in small parts, and after each part that completes a
 * request the other connections come first. So a client that sends many requests at once cannot
 * hold up the event loop.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {

    /** Maximum number of bytes that are forwarded at a time while no body is being received. */
    static final int MAX_HEAD_PART_BYTES = 128;

    /** Maximum number of bytes of a body that are forwarded at a time. */
    private static final int MAX_BODY_PART_BYTES = 1 << 14;

    /**
     * Number of pieces of a body that a part should bring at most. A client chooses how small the
     * chunks of its body are, and each takes the event loop's time.
     */
    private static final int MAX_PIECES_PER_PART = 16;

    /** Number of bytes of a read that {@link #clientPresence} makes. */
    private static final int PRESENCE_READ_BYTES = 1 << 14;

    /**
     * Maximum number of bytes that are buffered to find out whether the client has left; only while
     * the budget is not exceeded.
     */
    private static final int MAX_PRESENCE_BYTES = 1 << 20;

    /**
     * A client counts as present if it had not left this long ago, in microseconds. An attempt may
     * begin up to 0.1 s after its client has left; the other half is for the way to the backend.
     */
    private static final long MAX_PRESENCE_AGE_US = 50_000;

    /**
     * Bytes that were read, with the earliest time in microseconds at which they may have arrived.
     *
     * @param chargedBytes what the whole buffer occupies, however much of it is used
     */
    private record Input(ByteBuf bytes, int chargedBytes, long earliestArrivalUs) {}

    private final BufferBudget budget;
    private final int maxBytes;
    private final Supplier<LoopTime> loopTime;
    private final InputArrival arrival = new InputArrival();
    private final ArrayDeque<Input> buffered = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private long bufferedBytes;
    private boolean inputWanted = true;
    private boolean receivingBody;
    private boolean forwarding;

    /** Number of bytes of the current body that are forwarded at a time. */
    private int bodyPartBytes = MAX_BODY_PART_BYTES;

    /** Number of pieces of a body that the last part has brought. */
    private int receivedPieces;

    /** Whether other connections come first before more of the buffered input is forwarded. */
    private boolean yielding;

    /** Whether the client has closed its side, possibly behind input that is still buffered. */
    private boolean inputEnded;

    private long forwardedArrivalUs;
    private boolean requestReceived;

    /**
     * Creates a handler that forwards all input at first.
     *
     * @param budget counts the buffered bytes
     * @param maxBytes number of buffered bytes at which reading stops; the last read before that
     *     may exceed it
     * @param loopTime returns the present time on the event loop
     */
    ReadAhead(BufferBudget budget, int maxBytes, Supplier<LoopTime> loopTime) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.loopTime = loopTime;
    }

    /**
     * Returns the earliest time in microseconds at which the input that was forwarded last may have
     * arrived.
     */
    long forwardedArrivalUs() {
        return forwardedArrivalUs;
    }

    /**
     * Returns the earliest time in microseconds at which input that has not been forwarded may have
     * arrived.
     */
    long unforwardedArrivalUs() {
        return buffered.isEmpty()
                ? arrival.earliestUs(loopTime.get())
                : buffered.peek().earliestArrivalUs();
    }

    /**
     * Sets whether the proxy wants input from the client at present. If it does, the buffered input
     * is forwarded.
     */
    void setInputWanted(boolean value) {
        inputWanted = value;
        if (context != null) {
            forward();
            updateReading();
        }
    }

    /** Returns whether input has been read that was not forwarded yet. */
    boolean hasInput() {
        return !buffered.isEmpty();
    }

    /** Sets whether the input belongs to the body of a request. */
    void setReceivingBody(boolean value) {
        receivingBody = value;
    }

    /** Called when the forwarded input has brought a piece of a body. */
    void onBodyPiece() {
        receivedPieces++;
    }

    /** Called when the forwarded input has completed a request. */
    void onRequestReceived() {
        requestReceived = true;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        long connectedNotBeforeUs = ((ClientChannel) ctx.channel()).connectedNotBeforeUs();
        arrival.onConnected(loopTime.get(), connectedNotBeforeUs);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        drop();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf buffer = (ByteBuf) message;
        boolean drained = buffer.isWritable();
        requestReceived = false;
        addInput(buffer);
        forward();
        if (drained && requestReceived && buffered.isEmpty()) {
            arrival.onRequestsRead();
        }
        updateReading();
    }

    private void addInput(ByteBuf bytes) {
        Input input = new Input(bytes, bytes.capacity(), arrival.onRead(loopTime.get()));
        buffered.add(input);
        addBufferedBytes(input.chargedBytes());
    }

    /**
     * Forwards buffered input as long as input is wanted. Forwarding may itself change whether
     * input is wanted and so call this method again; such nested calls return at once, so that the
     * order is kept.
     */
    private void forward() {
        if (forwarding) {
            return;
        }
        forwarding = true;
        try {
            while (inputWanted && !yielding && !buffered.isEmpty()) {
                forwardPart();
            }
        } finally {
            forwarding = false;
        }
    }

    private void forwardPart() {
        Input next = buffered.peek();
        ByteBuf bytes = next.bytes();
        int partBytes = receivingBody ? bodyPartBytes : MAX_HEAD_PART_BYTES;
        int forwardedBytes = Math.min(partBytes, bytes.readableBytes());
        forwardedArrivalUs = next.earliestArrivalUs();
        requestReceived = false;
        receivedPieces = 0;
        if (forwardedBytes == bytes.readableBytes()) {
            buffered.poll();
            addBufferedBytes(-next.chargedBytes());
            context.fireChannelRead(bytes);
        } else {
            context.fireChannelRead(bytes.readRetainedSlice(forwardedBytes));
        }
        boolean muchWork = requestReceived || receivedPieces >= MAX_PIECES_PER_PART;
        adaptBodyPart(forwardedBytes);
        if (muchWork && !buffered.isEmpty()) {
            yieldToOthers();
        }
    }

    /** Chooses the size of the next part such that it brings few pieces. */
    private void adaptBodyPart(int forwardedBytes) {
        if (receivedPieces > MAX_PIECES_PER_PART) {
            long fewerBytes = (long) forwardedBytes * MAX_PIECES_PER_PART / receivedPieces;
            bodyPartBytes = (int) Math.max(MAX_HEAD_PART_BYTES, fewerBytes);
        } else if (receivingBody) {
            bodyPartBytes = Math.min(MAX_BODY_PART_BYTES, 2 * bodyPartBytes);
        }
    }

    /** Forwards the rest only after the event loop has polled all connections again. */
    private void yieldToOthers() {
        yielding = true;
        context.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            yielding = false;
                            forward();
                            updateReading();
                        },
                        0,
                        TimeUnit.MICROSECONDS);
    }

    private void addBufferedBytes(int difference) {
        bufferedBytes += difference;
        budget.add(difference);
    }

    private void updateReading() {
        if (context.channel().isActive()) {
            boolean wanted = inputWanted && !yielding;
            boolean reading =
                    inputEnded || wanted || bufferedBytes < maxBytes && !budget.exceeded();
            arrival.setReading(reading, loopTime.get());
            context.channel().config().setAutoRead(reading);
        }
    }

    // ---- presence of the client

    /**
     * Reads what the socket holds, as far as that may be buffered, and returns whether the client
     * is still there. What was read is forwarded later, in its order.
     */
    ClientPresence clientPresence() {
        if (!context.channel().isActive()) {
            return ClientPresence.GONE;
        }
        boolean drained = readUntilDrained();
        updateReading();
        if (inputEnded) {
            return ClientPresence.GONE;
        }
        return drained || arrival.emptyAgeUs(loopTime.get()) <= MAX_PRESENCE_AGE_US
                ? ClientPresence.PRESENT
                : ClientPresence.UNKNOWN;
    }

    /**
     * Returns whether nothing is left in the socket, nor on its way there. After a backlog has been
     * read, more of it may follow from the client's system, and the client's close behind that.
     */
    private boolean readUntilDrained() {
        int readBytes = 0;
        while (!inputEnded && mayReadForPresence()) {
            ByteBuf bytes = context.alloc().ioBuffer(PRESENCE_READ_BYTES, PRESENCE_READ_BYTES);
            int count = readNow(bytes);
            if (count > 0) {
                readBytes += count;
                addInput(bytes);
                continue;
            }
            bytes.release();
            inputEnded = count < 0;
            boolean backlog = readBytes >= PRESENCE_READ_BYTES;
            if (!backlog) {
                arrival.onDrained(loopTime.get());
            }
            return !backlog;
        }
        return false;
    }

    private boolean mayReadForPresence() {
        return bufferedBytes < maxBytes
                || bufferedBytes < MAX_PRESENCE_BYTES
                        && !budget.exceeded()
                        && arrival.emptyAgeUs(loopTime.get()) > MAX_PRESENCE_AGE_US;
    }

    private int readNow(ByteBuf into) {
        try {
            return ((ClientChannel) context.channel()).readNow(into);
        } catch (IOException broken) {
            return -1;
        }
    }

    private void drop() {
        while (!buffered.isEmpty()) {
            Input dropped = buffered.poll();
            addBufferedBytes(-dropped.chargedBytes());
            dropped.bytes().release();
        }
    }
}
