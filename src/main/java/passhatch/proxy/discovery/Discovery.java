package passhatch.proxy.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.HoldUps;

/**
 * The connections to discovery. It carries what {@link ListWatch} decides, and tells it what comes;
 * to be used on its event loop only.
 */
public final class Discovery implements ListWatch.Carrier {

    private final EventLoop loop;
    private final Clock clock;
    private final HoldUps holdUps;
    private final EventLog log;
    private final ListWatch watch;
    private final Map<Long, Channel> channels = new HashMap<>();

    /** A watch that has not begun; the seed is of the pauses between two calls. */
    public Discovery(
            EventLoop loop,
            Clock clock,
            HoldUps holdUps,
            EventLog log,
            ListWatch.Source source,
            long seed,
            ListWatch.Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.holdUps = holdUps;
        this.log = log;
        this.watch = new ListWatch(source, seed, this, listener, log::line);
    }

    /** Goes on at another address; the watch at the old one is given up. */
    public void moveTo(InetSocketAddress to) {
        watch.moveTo(clock.nowUs(), to);
    }

    /** Starts a watch unless one is out. */
    public void watch() {
        watch.watch(clock.nowUs());
    }

    /** Nothing is called any more. */
    public void stop() {
        watch.stop();
    }

    @Override
    public void call(long call, InetSocketAddress address, String path) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                Math.toIntExact(watch.connectMs()))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec(), new Answer(call));
                                    }
                                });
        ChannelFuture connecting = bootstrap.connect(address);
        if (!(connecting.channel() instanceof SocketChannel)) {
            // The system gave no socket: there is no channel whose close would end the call.
            loop.execute(
                    () -> {
                        watch.failed(call, "no socket: " + rootMessage(connecting.cause()));
                        watch.closed(clock.nowUs(), call);
                    });
            return;
        }
        Channel channel = connecting.channel();
        channels.put(call, channel);
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        watch.connected(call);
                        channel.writeAndFlush(get(path));
                    }
                });
        channel.closeFuture()
                .addListener(
                        closed -> {
                            channels.remove(call);
                            if (connecting.cause() != null) {
                                watch.failed(call, connecting.cause().getMessage());
                            }
                            watch.closed(clock.nowUs(), call);
                        });
    }

    private static DefaultFullHttpRequest get(String path) {
        DefaultFullHttpRequest get =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        get.headers().set(HttpHeaderNames.HOST, "discovery");
        return get;
    }

    private static String rootMessage(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage();
    }

    @Override
    public void hangUp(long call) {
        Channel channel = channels.get(call);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void wakeAt(long atUs) {
        loop.schedule(
                () -> watch.time(clock.nowUs()),
                Math.max(0, atUs - clock.nowUs()),
                TimeUnit.MICROSECONDS);
    }

    /** The answer to one call. */
    private final class Answer extends SimpleChannelInboundHandler<HttpObject> {
        private final long call;

        Answer(long call) {
            this.call = call;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse response) {
                watch.answered(clock.nowUs(), call, response.status().code());
            }
            if (message instanceof HttpContent content) {
                long nowUs = clock.nowUs();
                watch.body(nowUs, nowUs - holdUps.unreadUs(nowUs), call, content.content());
            }
            if (message instanceof LastHttpContent) {
                watch.answerEnded(clock.nowUs(), call);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            watch.failed(call, cause.toString());
            ctx.close();
        }
    }
}
