package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.client.ListeningChannel;

/** The parts of a handover to a new version. */
@Timeout(60)
final class HandoverTest {

    @TempDir Path folder;

    /** Connections that wait in the backlog of a socket are reset when it closes. */
    @Test
    void acceptsWaitingConnectionsBeforeItCloses() throws Exception {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            Channel listener =
                    new ServerBootstrap()
                            .group(loop)
                            .channelFactory(ListeningChannel::new)
                            .childHandler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel channel) {
                                            channel.pipeline().addLast(new Greeting());
                                        }
                                    })
                            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                            .sync()
                            .channel();
            InetSocketAddress address = (InetSocketAddress) listener.localAddress();
            // On the event loop, so that nothing is accepted while the clients connect.
            List<Socket> clients =
                    loop.submit(
                                    () -> {
                                        List<Socket> connected =
                                                List.of(
                                                        connect(address),
                                                        connect(address),
                                                        connect(address));
                                        listener.close();
                                        return connected;
                                    })
                            .get();
            for (Socket client : clients) {
                client.setSoTimeout(HttpConnection.TIMEOUT_MS);
                assertEquals('x', client.getInputStream().read());
                client.close();
            }
            assertFalse(listener.isOpen());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Socket connect(InetSocketAddress address) throws Exception {
        return new Socket(address.getAddress(), address.getPort());
    }

    private static final class Greeting extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {'x'}));
        }
    }

    @Test
    void findsNoOtherProcessIfNoneRuns() throws Exception {
        Process ended = new ProcessBuilder("true").start();
        ended.waitFor();
        Files.writeString(folder.resolve("passhatch.pid"), Long.toString(ended.pid()));
        ProcessHandover handover = new ProcessHandover(folder, new EventLog(System.err));
        assertFalse(handover.otherProcessRuns());
        assertFalse(handover.newerProcessRuns());
    }

    @Test
    void theOlderProcessDetectsTheNewerUntilThatEnds() throws Exception {
        ProcessHandover handover = new ProcessHandover(folder, new EventLog(System.err));
        Process newer = new ProcessBuilder("sleep", "60").start();
        try {
            Files.writeString(folder.resolve("passhatch.pid"), Long.toString(newer.pid()));
            assertTrue(handover.otherProcessRuns());
            assertTrue(handover.newerProcessRuns());
            assertFalse(handover.newerProcessIsReady(), "the newer process is not ready");
            Files.writeString(folder.resolve("passhatch.ready"), Long.toString(newer.pid()));
            assertTrue(handover.newerProcessIsReady());
        } finally {
            newer.destroyForcibly().waitFor();
        }
        assertFalse(handover.otherProcessRuns());
        assertFalse(
                handover.newerProcessRuns(), "a newer process that failed to start still counts");
        assertFalse(handover.newerProcessIsReady());
    }

    @Test
    void theNewerProcessDoesNotTakeTheOlderForANewerOne() throws Exception {
        Process older = new ProcessBuilder("sleep", "60").start();
        try {
            Files.writeString(folder.resolve("passhatch.pid"), Long.toString(older.pid()));
            Files.writeString(folder.resolve("passhatch.ready"), Long.toString(older.pid()));
            ProcessHandover handover = new ProcessHandover(folder, new EventLog(System.err));
            assertTrue(handover.otherProcessRuns());
            assertFalse(handover.newerProcessRuns());
            handover.recordReady();
            assertFalse(handover.newerProcessIsReady());
            assertEquals(
                    Long.toString(ProcessHandle.current().pid()),
                    Files.readString(folder.resolve("passhatch.ready")));
        } finally {
            older.destroyForcibly().waitFor();
        }
        assertFalse(new ProcessHandover(folder, new EventLog(System.err)).otherProcessRuns());
    }
}
