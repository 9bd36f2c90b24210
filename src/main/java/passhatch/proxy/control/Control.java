package passhatch.proxy.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.LingeringClose;

/**
 * The control server for operators: each connection carries one command line and one response and
 * is then closed.
 */
public final class Control {

    /** Maximum number of open connections; the oldest is closed when another one is opened. */
    public static final int MAX_CONNECTIONS = 16;

    private static final int BACKLOG = 128;
    private static final int MAX_LINE_BYTES = 256;

    /** Time after which a connection is closed if no complete line was received on it. */
    private static final long LINE_TIMEOUT_MS = 5_000;

    private final EventLoop loop;
    private final EventLog log;
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private final UnaryOperator<String> extraCommands;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private Channel listener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param ready whether this process is ready to serve
     * @param metrics the current metrics, one per line
     */
    public Control(EventLoop loop, EventLog log, BooleanSupplier ready, Supplier<String> metrics) {
        this(loop, log, ready, metrics, command -> null);
    }

    /**
     * Creates a server that does not listen yet and has commands besides {@code check} and {@code
     * vars}.
     *
     * @param extraCommands returns the response to a command other than {@code check} and {@code
     *     vars}, or null if there is no such command
     */
    public Control(
            EventLoop loop,
            EventLog log,
            BooleanSupplier ready,
            Supplier<String> metrics,
            UnaryOperator<String> extraCommands) {
        this.extraCommands = extraCommands;
        this.loop = loop;
        this.log = log;
        this.ready = ready;
        this.metrics = metrics;
    }

    /**
     * Starts to listen. A failure is only logged, as a proxy without a control address can still
     * serve.
     */
    public void listen(InetSocketAddress address) throws InterruptedException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new LineBasedFrameDecoder(
                                                                MAX_LINE_BYTES, true, true),
                                                        new StringDecoder(
                                                                StandardCharsets.US_ASCII),
                                                        new StringEncoder(
                                                                StandardCharsets.US_ASCII),
                                                        new ConnectionHandler());
                                    }
                                })
                        .bind(address)
                        .await();
        if (bound.isSuccess()) {
            listener = bound.channel();
        } else {
            log.write("no control address: " + address + ": " + bound.cause().getMessage());
        }
    }

    /** Returns the address on which this server listens, or null if it does not listen. */
    public InetSocketAddress address() {
        return listener == null ? null : (InetSocketAddress) listener.localAddress();
    }

    private String responseTo(String command) {
        return switch (command.strip()) {
            case "check" -> ready.getAsBoolean() ? "done\n" : "error not ready to serve\n";
            case "vars" -> metrics.get() + "end\n";
            default ->
                    Objects.requireNonNullElse(
                            extraCommands.apply(command.strip()), "error no such call\n");
        };
    }

    /** Handles one connection of an operator. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<String> {
        private boolean responded;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
            if (connections.size() > MAX_CONNECTIONS) {
                connections.iterator().next().close();
            }
            var timeout =
                    loop.schedule(
                            () -> {
                                ctx.close();
                            },
                            LINE_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
            ctx.channel()
                    .closeFuture()
                    .addListener(
                            closed -> {
                                timeout.cancel(false);
                                connections.remove(ctx.channel());
                            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String command) {
            if (!responded) {
                respondAndClose(ctx, responseTo(command));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof TooLongFrameException)) {
                ctx.close();
            } else if (!responded) {
                respondAndClose(ctx, "error the line is too long\n");
            }
        }

        /**
         * Writes the response and then closes the connection without a reset: input that is unread
         * or still arrives must not prevent the peer from receiving the response.
         */
        private void respondAndClose(ChannelHandlerContext ctx, String response) {
            responded = true;
            ctx.writeAndFlush(response).addListener(written -> LingeringClose.begin(ctx.channel()));
        }

        /**
         * Closes the connection if the peer shuts down its output before it has sent a command, as
         * no command can follow.
         */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent && !responded) {
                ctx.close();
            }
        }
    }
}
