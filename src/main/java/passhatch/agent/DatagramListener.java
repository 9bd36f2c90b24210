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

/** Binds the UDP sockets on which an agent receives datagrams. */
final class DatagramListener {

    /**
     * Size of the receive buffer. It is greater than the largest valid datagram, so that longer
     * datagrams are recognized and dropped.
     */
    private static final int RECEIVE_BYTES = 512;

    private DatagramListener() {}

    /**
     * Binds a socket and passes the datagrams that it receives to a handler on the loop. This
     * method must not be called on a thread of the loop.
     *
     * @param maxDatagramsPerRead maximum number of datagrams that are read before the loop
     *     continues with other work
     * @throws IOException if the address cannot be used
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
