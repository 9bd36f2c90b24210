package passhatch.agent;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Opens the UDP sockets on which an agent hears other processes. */
final class DatagramListener {

    /** More than is allowed, so that a datagram that is too long is seen to be. */
    private static final int RECEIVE_BYTES = 512;

    private DatagramListener() {}

    /**
     * Binds a socket and hands what comes to a handler, on the loop. On no thread of the loop.
     *
     * @param maxDatagramsPerRead how many are read in one turn of the loop at most
     * @throws IOException where the address cannot be used
     */
    static Channel bind(
            EventLoop loop,
            InetSocketAddress address,
            ChannelHandler receiver,
            int maxDatagramsPerRead)
            throws IOException, InterruptedException {
        ChannelFuture bound =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(RECEIVE_BYTES)
                                        .maxMessagesPerRead(maxDatagramsPerRead))
                        .handler(receiver)
                        .bind(address)
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException(address + ": " + bound.cause().getMessage());
        }
        return bound.channel();
    }
}
