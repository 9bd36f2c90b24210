package passhatch.proxy.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import passhatch.proxy.base.EventLog;

/** Tests that connections are accepted soon after an accept has failed. */
@Timeout(20)
final class AcceptRetryTest {

    /** The shortest deadline of a request is 0.15 s; waiting for the accept must not exceed it. */
    private static final long MAX_DELAY_MS = 150;

    @Test
    void acceptsAgainWithinTheShortestDeadlineAfterAFailedAccept() throws Exception {
        CountDownLatch accepted = new CountDownLatch(1);
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Channel listener =
                new ServerBootstrap()
                        .group(group)
                        .channelFactory(ListeningChannel::new)
                        .handler(
                                new AcceptRetry(
                                        new EventLog(
                                                new PrintStream(PrintStream.nullOutputStream()))))
                        .childHandler(
                                new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void handlerAdded(ChannelHandlerContext ctx) {
                                        accepted.countDown();
                                    }
                                })
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel();
        try {
            listener.eventLoop()
                    .submit(
                            () -> {
                                listener.pipeline()
                                        .fireExceptionCaught(
                                                new IOException("Too many open files"));
                                assertFalse(
                                        listener.config().isAutoRead(),
                                        "accepting must pause, or the loop spins");
                            })
                    .sync();
            InetSocketAddress at = (InetSocketAddress) listener.localAddress();
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                assertTrue(accepted.await(MAX_DELAY_MS, TimeUnit.MILLISECONDS), "" + client);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
