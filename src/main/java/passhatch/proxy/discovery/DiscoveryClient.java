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
import passhatch.proxy.base.StallDetector;

/**
 * Manages the connections to discovery. Carries out the actions of {@link ListWatch} and reports
 * the events of the network to it. Used only on the event loop.
 */
public final class DiscoveryClient implements ListWatch.Transport {

    private final EventLoop loop;
    private final Clock clock;
    private final StallDetector stallDetector;
    private final EventLog log;
    private final ListWatch watch;
    private final Map<Long, Channel> channels = new HashMap<>();

    /**
     * Creates a client that has not started its watch; {@code seed} is for the random delays
     * between calls.
     */
    public DiscoveryClient(
            EventLoop loop,
            Clock clock,
            StallDetector stallDetector,
            EventLog log,
            ListWatch.WatchConfig config,
            long seed,
            ListWatch.Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.stallDetector = stallDetector;
        this.log = log;
        this.watch = new ListWatch(config, seed, this, listener, log::write);
    }

    /** Starts a watch at another address of discovery and abandons the watch at the old address. */
    public void changeAddress(InetSocketAddress newAddress) {
        watch.changeAddress(clock.nowUs(), newAddress);
    }

    /** Starts a watch unless a call to discovery is open. */
    public void startWatch() {
        watch.startWatch(clock.nowUs());
    }

    /** Closes the connections to discovery; no further call is made. */
    public void stop() {
        watch.stop();
    }

    @Override
    public void startCall(long call, InetSocketAddress address, String path) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                Math.toIntExact(watch.connectTimeoutMs()))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new ResponseHandler(call));
                                    }
                                });
        ChannelFuture connecting = bootstrap.connect(address);
        if (!(connecting.channel() instanceof SocketChannel)) {
            // No socket could be created: there is no channel whose close would end the call.
            loop.execute(
                    () -> {
                        watch.onFailed(call, "no socket: " + rootMessage(connecting.cause()));
                        watch.onClosed(clock.nowUs(), call);
                    });
            return;
        }
        Channel channel = connecting.channel();
        channels.put(call, channel);
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        watch.onConnected(call);
                        channel.writeAndFlush(buildGet(path));
                    }
                });
        channel.closeFuture()
                .addListener(
                        closed -> {
                            channels.remove(call);
                            if (connecting.cause() != null) {
                                watch.onFailed(call, connecting.cause().getMessage());
                            }
                            watch.onClosed(clock.nowUs(), call);
                        });
    }

    private static DefaultFullHttpRequest buildGet(String path) {
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
    public void closeCall(long call) {
        Channel channel = channels.get(call);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void wakeAt(long atUs) {
        loop.schedule(
                () -> watch.onTimer(clock.nowUs()),
                Math.max(0, atUs - clock.nowUs()),
                TimeUnit.MICROSECONDS);
    }

    /** Handles the response to one call. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final long call;

        ResponseHandler(long call) {
            this.call = call;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse response) {
                watch.onResponseHead(clock.nowUs(), call, response.status().code());
            }
            if (message instanceof HttpContent content) {
                long nowUs = clock.nowUs();
                watch.onBody(nowUs, nowUs - stallDetector.unreadUs(nowUs), call, content.content());
            }
            if (message instanceof LastHttpContent) {
                watch.onResponseEnd(clock.nowUs(), call);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            watch.onFailed(call, cause.toString());
            ctx.close();
        }
    }
}
