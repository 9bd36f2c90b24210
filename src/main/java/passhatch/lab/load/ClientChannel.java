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

/** A client's connection to a proxy: one request at a time, and kept for the next. */
final class ClientChannel extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final int MOST_BODY = 1 << 16;
    private static final int CONNECT_WITHIN_MS = 1_000;
    private static final byte[] BODY =
            "what the client asks".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

    private final Sender sender;
    private final Front.Entry proxy;
    private Channel channel;
    private Sender.Call call;
    private boolean served;

    ClientChannel(Sender sender, Front.Entry proxy) {
        this.sender = sender;
        this.proxy = proxy;
    }

    boolean usable() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    /** Its request has ended without it. */
    void abandon() {
        call = null;
        if (channel != null) {
            channel.close();
        }
    }

    void send(Sender.Call next) {
        call = next;
        if (channel != null) {
            write();
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(sender.loop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_WITHIN_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel ch) {
                                        ch.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(MOST_BODY),
                                                        ClientChannel.this);
                                    }
                                })
                        .connect(proxy.address());
        channel = connecting.channel();
        sender.opened();
        channel.closeFuture().addListener(closed -> sender.closed());
        connecting.addListener(
                up -> {
                    if (up.isSuccess()) {
                        write();
                    } else {
                        ended(false);
                    }
                });
    }

    private void write() {
        if (call == null) {
            channel.close();
            return;
        }
        boolean safe = call.kind().effect() == LoadPlan.Effect.SAFE;
        var request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        safe ? HttpMethod.GET : HttpMethod.POST,
                        "/" + call.kind().path(),
                        safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
        request.headers()
                .set(HttpHeaderNames.HOST, "origin.svc")
                .set("X-Request-Id", call.id())
                .set("X-Deadline", call.leftUs() + "u");
        if (!safe) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
        }
        if (call.kind().effect() == LoadPlan.Effect.KEYED) {
            request.headers().set("Idempotency-Key", call.key());
        }
        channel.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
        Sender.Call answered = call;
        call = null;
        served = true;
        if (answered == null || !HttpUtil.isKeepAlive(answer)) {
            ctx.close();
        } else {
            sender.keep(proxy, this);
        }
        if (answered != null) {
            boolean right =
                    answer.decoderResult().isSuccess()
                            && Arrays.equals(
                                    ByteBufUtil.getBytes(answer.content()),
                                    BackendServer.bodyFor(answered.id()));
            answered.answered(answer.status().code(), right);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ended(true);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void ended(boolean connected) {
        Sender.Call lost = call;
        call = null;
        if (lost != null) {
            lost.cutOff(connected, served);
        }
    }
}
