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
 * Closes a connection so that the data written to it arrives. Closing a socket that has unread data
 * resets the connection, and a reset may overtake the last response (RFC 9112, 9.6). So the output
 * is shut down first, further input is read and dropped, and the socket is closed once the peer has
 * shut down its side too, or after a bounded time. Input that arrives meanwhile is not processed;
 * its sender sees that it got no response.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {

    /**
     * Maximum time for which the socket stays open. Any peer that is still connected, however
     * distant, has received the end of the output by then.
     */
    private static final long MAX_LINGER_MS = 500;

    /** Maximum number of bytes that are read from a peer that keeps sending. */
    private static final long MAX_DROPPED_BYTES = 1 << 20;

    private long droppedBytes;

    private LingeringClose() {}

    /**
     * Begins to close a connection; closes it at once if the peer has already shut down its side.
     * All output must have been written before. Input from now on does not reach the other
     * handlers.
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
