package passhatch.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;
import passhatch.lab.standin.BackendServer;

/**
 * A client's connection to a proxy. The connection carries one request at a time and is kept open
 * for the next request.
 */
final class ClientChannel extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final int MAX_RESPONSE_BODY_BYTES = 1 << 16;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final byte[] REQUEST_BODY =
            "what the client asks".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

    private final Sender sender;
    private final ProxyPool.ProxyEndpoint proxy;
    private Channel channel;
    private Sender.ClientRequest pendingRequest;
    private boolean carriedResponse;

    ClientChannel(Sender sender, ProxyPool.ProxyEndpoint proxy) {
        this.sender = sender;
        this.proxy = proxy;
    }

    boolean usable() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    /** Closes this connection because its request is given up without a response. */
    void abandon() {
        pendingRequest = null;
        if (channel != null) {
            channel.close();
        }
    }

    void send(Sender.ClientRequest next) {
        pendingRequest = next;
        if (channel != null) {
            writeRequest();
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(sender.loop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel ch) {
                                        ch.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BODY_BYTES),
                                                        ClientChannel.this);
                                    }
                                })
                        .connect(proxy.address());
        channel = connecting.channel();
        sender.connectionOpened();
        channel.closeFuture().addListener(closed -> sender.connectionClosed());
        connecting.addListener(
                connected -> {
                    if (connected.isSuccess()) {
                        writeRequest();
                    } else {
                        connectionEnded(false);
                    }
                });
    }

    private void writeRequest() {
        if (pendingRequest == null) {
            channel.close();
            return;
        }
        boolean safe = pendingRequest.requestClass().effect() == LoadPlan.Effect.SAFE;
        var request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        safe ? HttpMethod.GET : HttpMethod.POST,
                        "/" + pendingRequest.requestClass().path(),
                        safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(REQUEST_BODY));
        request.headers()
                .set(HttpHeaderNames.HOST, "origin.svc")
                .set("X-Request-Id", pendingRequest.id())
                .set("X-Deadline", pendingRequest.remainingUs() + "u");
        if (!safe) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, REQUEST_BODY.length);
        }
        if (pendingRequest.requestClass().effect() == LoadPlan.Effect.KEYED) {
            request.headers().set("Idempotency-Key", pendingRequest.idempotencyKey());
        }
        channel.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        Sender.ClientRequest answered = pendingRequest;
        pendingRequest = null;
        carriedResponse = true;
        if (answered == null || !HttpUtil.isKeepAlive(response)) {
            ctx.close();
        } else {
            sender.releaseChannel(proxy, this);
        }
        if (answered != null) {
            boolean bodyIsCorrect =
                    response.decoderResult().isSuccess()
                            && Arrays.equals(
                                    ByteBufUtil.getBytes(response.content()),
                                    BackendServer.responseBodyFor(answered.id()));
            answered.onResponse(response.status().code(), bodyIsCorrect);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connectionEnded(true);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void connectionEnded(boolean connected) {
        Sender.ClientRequest unanswered = pendingRequest;
        pendingRequest = null;
        if (unanswered != null) {
            unanswered.onConnectionEnded(connected, carriedResponse);
        }
    }
}
