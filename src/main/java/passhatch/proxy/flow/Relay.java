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
    public static final RecvByteBufAllocator READS =
            new AdaptiveRecvByteBufAllocator(512, 2048, 1 << 14);

    /** Peers take seconds to read or write; one that does nothing for this long has gone. */
    private static final long STALL_MS = 30_000;

    /** Where the bytes come from. */
    public interface Source {
        void read(boolean on);
    }

    /** Hears how the passing on ended, once; not after {@link #stop}. */
    public interface Listener {
        /** All of it has gone out. */
        void passed();

        /** The channel broke, or nothing has moved for long. */
        void broken();
    }

    private final EventLoop loop;
    private final ByteBudget budget;
    private final Channel to;
    private final Listener listener;
    private Source source;
    private long pending;
    private boolean moved;
    private boolean over;
    private Future<?> watch;

    public Relay(EventLoop loop, ByteBudget budget, Source source, Channel to, Listener listener) {
        this.loop = loop;
        this.budget = budget;
        this.source = source;
        this.to = to;
        this.listener = listener;
        watch();
    }

    private void watch() {
        watch =
                loop.schedule(
                        () -> {
                            if (moved) {
                                moved = false;
                                watch();
                            } else {
                                end(false);
                            }
                        },
                        STALL_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Passes bytes on; the buffer is the relay's from now on. */
    public void pass(ByteBuf bytes) {
        if (over || !bytes.isReadable()) {
            bytes.release();
            return;
        }
        int size = bytes.readableBytes();
        moved = true;
        pending += size;
        budget.add(size);
        to.writeAndFlush(new DefaultHttpContent(bytes))
                .addListener(
                        written -> {
                            pending -= size;
                            budget.remove(size);
                            moved = true;
                            if (!written.isSuccess()) {
                                end(false);
                            } else if (!over) {
                                regulate();
                            }
                        });
        if (!over) {
            regulate();
        }
    }

    /** The source has given all. */
    public void finish() {
        if (over) {
            return;
        }
        source = null;
        to.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(written -> end(written.isSuccess()));
    }

    /** Nothing more is passed on, and nothing more is heard. */
    public void stop() {
        over = true;
        source = null;
        watch.cancel(false);
    }

    private void regulate() {
        if (source != null) {
            source.read(pending == 0 || to.isWritable() && !budget.over());
        }
    }

    private void end(boolean whole) {
        if (!over) {
            stop();
            if (whole) {
                listener.passed();
            } else {
                listener.broken();
            }
        }
    }
}
