package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Forwards a body to a channel as it arrives. While bytes of the body wait to be written to the
 * channel, the source is paused if the channel is full or too many bytes are buffered for all
 * connections together. A relay without waiting bytes is never paused because of other relays, so a
 * slow relay cannot stop the others.
 */
public final class Relay {

    /**
     * Limits on the number of bytes that wait to be written to a connection. Above the high limit
     * the connection is full, and below the low limit it can be written again.
     */
    public static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(1 << 14, 1 << 16);

    /** Maximum number of bytes of a single read or write of a connection. */
    public static final int MAX_READ_BYTES = 1 << 14;

    /** Size in bytes of the blocks in which small pieces are collected. */
    private static final int BLOCK_BYTES = 1 << 11;

    /** A piece of fewer bytes is copied into a block: each piece takes memory besides its bytes. */
    private static final int SMALL_PIECE_BYTES = BLOCK_BYTES / 4;

    /**
     * Returns limits on the size of a read, as all bytes that were read are buffered until they
     * have been written.
     */
    public static DefaultMaxMessagesRecvByteBufAllocator readSizes(int maxBytes) {
        return new AdaptiveRecvByteBufAllocator(512, 2048, maxBytes);
    }

    /**
     * A peer may take seconds to read or write; a transfer without any progress for this long
     * fails.
     */
    private static final long PROGRESS_TIMEOUT_MS = 30_000;

    /** The source of the bytes, such as the connection from which they are read. */
    public interface Source {
        void setReading(boolean reading);
    }

    /**
     * Listens for the end of the transfer. One of its two methods is called, once. After {@link
     * #stop}, neither is called.
     */
    public interface Listener {
        /** Called when all bytes have been written. */
        void completed();

        /** Called when the channel has failed, or when there was no progress for too long. */
        void failed();
    }

    private final EventLoop loop;
    private final BufferBudget budget;
    private final Channel target;
    private final Listener listener;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private Source source;

    /** The last of the waiting buffers if it is a block that has room for more; else null. */
    private ByteBuf openBlock;

    /** The number of bytes that were forwarded and have not been written to the channel yet. */
    private long unwrittenBytes;

    /** The part of {@link #unwrittenBytes} that has been passed to the channel. */
    private long passedBytes;

    /** Whether the source has delivered all bytes. */
    private boolean finished;

    /** Whether the end of the body has been passed to the channel. */
    private boolean endPassed;

    private boolean progressSinceCheck;
    private boolean ended;
    private Future<?> progressCheck;

    public Relay(
            EventLoop loop, BufferBudget budget, Source source, Channel target, Listener listener) {
        this.loop = loop;
        this.budget = budget;
        this.source = source;
        this.target = target;
        this.listener = listener;
        scheduleProgressCheck();
    }

    private void scheduleProgressCheck() {
        progressCheck =
                loop.schedule(
                        () -> {
                            if (progressSinceCheck) {
                                progressSinceCheck = false;
                                scheduleProgressCheck();
                            } else {
                                end(false);
                            }
                        },
                        PROGRESS_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the transfer with the bytes that have arrived so far, which may be none, and takes
     * over the ownership of the buffer. From now on, the source is read whenever there is room.
     */
    public void start(ByteBuf bytes) {
        forward(bytes);
        if (!ended) {
            updateReading();
        }
    }

    /** Forwards bytes and takes over the ownership of the buffer. */
    public void forward(ByteBuf bytes) {
        if (ended || !bytes.isReadable()) {
            bytes.release();
            return;
        }
        progressSinceCheck = true;
        unwrittenBytes += bytes.readableBytes();
        budget.add(bytes.readableBytes());
        addWaiting(bytes);
        writeWaiting();
        if (!ended) {
            updateReading();
        }
    }

    /** Adds bytes to those that wait; small pieces are collected while earlier ones are written. */
    private void addWaiting(ByteBuf bytes) {
        boolean collect = passedBytes > 0 && bytes.readableBytes() < SMALL_PIECE_BYTES;
        if (!collect) {
            openBlock = null;
            waiting.add(bytes);
            return;
        }
        if (openBlock == null || openBlock.writableBytes() < bytes.readableBytes()) {
            openBlock = Unpooled.buffer(BLOCK_BYTES, BLOCK_BYTES);
            waiting.add(openBlock);
        }
        openBlock.writeBytes(bytes);
        bytes.release();
    }

    /**
     * Passes waiting bytes to the channel, in parts that are no larger than a read: the channel
     * copies them, and its copies are held until they have been written.
     */
    private void writeWaiting() {
        while (!ended && !waiting.isEmpty() && mayPassMore()) {
            ByteBuf first = waiting.peek();
            if (first == openBlock) {
                openBlock = null;
            }
            int size = Math.min(MAX_READ_BYTES, first.readableBytes());
            ByteBuf part = first.readRetainedSlice(size);
            if (!first.isReadable()) {
                waiting.poll().release();
            }
            write(part, size);
        }
        if (!ended && finished && waiting.isEmpty() && !endPassed) {
            writeEnd();
        }
    }

    private boolean mayPassMore() {
        boolean stillCollecting = waiting.peek() == openBlock;
        return passedBytes == 0 || !stillCollecting && target.isWritable() && !budget.exceeded();
    }

    private void write(ByteBuf part, int size) {
        passedBytes += size;
        target.writeAndFlush(new DefaultHttpContent(part))
                .addListener(
                        written -> {
                            passedBytes -= size;
                            unwrittenBytes -= size;
                            budget.remove(size);
                            progressSinceCheck = true;
                            if (!written.isSuccess()) {
                                end(false);
                            } else if (!ended) {
                                writeWaiting();
                                updateReading();
                            }
                        });
    }

    /** Ends the body; called when the source has delivered all bytes. */
    public void finish() {
        if (ended) {
            return;
        }
        source = null;
        finished = true;
        writeWaiting();
    }

    private void writeEnd() {
        endPassed = true;
        target.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(written -> end(written.isSuccess()));
    }

    /** Stops the transfer without notifying the listener. */
    public void stop() {
        ended = true;
        source = null;
        progressCheck.cancel(false);
        openBlock = null;
        while (!waiting.isEmpty()) {
            ByteBuf dropped = waiting.poll();
            unwrittenBytes -= dropped.readableBytes();
            budget.remove(dropped.readableBytes());
            dropped.release();
        }
    }

    private void updateReading() {
        if (source != null) {
            source.setReading(unwrittenBytes == 0 || target.isWritable() && !budget.exceeded());
        }
    }

    private void end(boolean success) {
        if (!ended) {
            stop();
            if (success) {
                listener.completed();
            } else {
                listener.failed();
            }
        }
    }
}
