package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Passes a body on to a channel as it comes. Its source waits while the channel is full, or while
 * bytes stand before that channel and too many are held over all connections. A relay with nothing
 * on its way never waits for others, so one that is slow cannot stop the rest.
 */
public final class Relay {

    /** When a connection counts as full, and as free again. */
    public static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(1 << 14, 1 << 16);

    /** What is read at a time, as all of it is held until it has gone on. */
    public static final RecvByteBufAllocator READ_SIZES =
            new AdaptiveRecvByteBufAllocator(512, 2048, 1 << 14);

    /** Peers take seconds to read or write; one that does nothing for this long has gone. */
    private static final long PROGRESS_TIMEOUT_MS = 30_000;

    /** Where the bytes come from. */
    public interface Source {
        void setReading(boolean reading);
    }

    /** Hears how the passing on ended, once; not after {@link #stop}. */
    public interface Listener {
        /** All of it has gone out. */
        void completed();

        /** The channel broke, or nothing has moved for long. */
        void failed();
    }

    private final EventLoop loop;
    private final BufferBudget budget;
    private final Channel target;
    private final Listener listener;
    private Source source;
    private long pendingBytes;
    private boolean progressed;
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
                            if (progressed) {
                                progressed = false;
                                scheduleProgressCheck();
                            } else {
                                end(false);
                            }
                        },
                        PROGRESS_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Passes bytes on; the buffer is the relay's from now on. */
    public void forward(ByteBuf bytes) {
        if (ended || !bytes.isReadable()) {
            bytes.release();
            return;
        }
        int size = bytes.readableBytes();
        progressed = true;
        pendingBytes += size;
        budget.add(size);
        target.writeAndFlush(new DefaultHttpContent(bytes))
                .addListener(
                        written -> {
                            pendingBytes -= size;
                            budget.remove(size);
                            progressed = true;
                            if (!written.isSuccess()) {
                                end(false);
                            } else if (!ended) {
                                updateReading();
                            }
                        });
        if (!ended) {
            updateReading();
        }
    }

    /** The source has given all. */
    public void finish() {
        if (ended) {
            return;
        }
        source = null;
        target.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(written -> end(written.isSuccess()));
    }

    /** Nothing more is passed on, and nothing more is heard. */
    public void stop() {
        ended = true;
        source = null;
        progressCheck.cancel(false);
    }

    private void updateReading() {
        if (source != null) {
            source.setReading(pendingBytes == 0 || target.isWritable() && !budget.exceeded());
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
