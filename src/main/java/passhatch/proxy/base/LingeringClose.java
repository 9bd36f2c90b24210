package passhatch.proxy.base;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Ends a connection so that what was written on it arrives. To close a socket in which bytes stand
 * unread resets the connection, and a reset may overtake the last answer (RFC 9112, 9.6). So the
 * sending is ended first, what still comes is read and dropped, and the socket is closed once the
 * peer has ended too, or after a bounded time. Nothing that comes meanwhile counts as read: its
 * sender sees that it was not taken.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {

    /** A peer that is still there has seen the end by then, over any distance. */
    private static final long MAX_LINGER_MS = 500;

    /** More than this is not read from a peer that goes on sending. */
    private static final long MAX_DROPPED_BYTES = 1 << 20;

    private long droppedBytes;

    private LingeringClose() {}

    /**
     * Begins to end a connection, at once where its peer has ended it already. All that is to
     * arrive must have been written. Nothing that comes from now on gets to the other handlers.
     */
    public static void begin(Channel channel) {
        if (!channel.isActive() || ((DuplexChannel) channel).isInputShutdown()) {
            channel.close();
        } else if (channel.pipeline().get(LingeringClose.class) == null) {
            channel.pipeline().addFirst(new LingeringClose());
            channel.config().setAutoRead(true);
            ((DuplexChannel) channel).shutdownOutput();
            var timeout =
                    channel.eventLoop()
                            .schedule(
                                    () -> {
                                        channel.close();
                                    },
                                    MAX_LINGER_MS,
                                    TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(closed -> timeout.cancel(false));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        droppedBytes += message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        ReferenceCountUtil.release(message);
        if (droppedBytes > MAX_DROPPED_BYTES) {
            ctx.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
