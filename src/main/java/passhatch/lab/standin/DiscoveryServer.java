package passhatch.lab.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Discovery by the protocol's page: the whole list, and watches that carry one line for each
 * change. It can go down, stall, or tell late. All of its state belongs to one event loop.
 */
public final class DiscoveryServer {

    private static final long EMPTY_LINE_MS = 2_000;

    /** After a move its old address closes what is open there after so long. */
    private static final long OLD_ADDRESS_CLOSES_MS = 1_500;

    /** While it is overloaded, a call waits in its queue for so long and is then turned away. */
    private static final long QUEUE_WAIT_MS = 2_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * What the list says of a backend.
     *
     * @param sinceMs its last start in Unix milliseconds; 0 for long ago
     */
    public record Entry(String name, InetSocketAddress address, String status, long sinceMs) {
        private Map<String, Object> json() {
            return Map.of(
                    "name",
                    name,
                    "address",
                    address.getAddress().getHostAddress() + ":" + address.getPort(),
                    "zone",
                    "a",
                    "type",
                    "m",
                    "group",
                    0,
                    "status",
                    status,
                    "weight",
                    1.0,
                    "since_ms",
                    sinceMs);
        }
    }

    private record Versioned(long index, Entry entry) {}

    private final EventLoop loop;
    private final Map<String, Versioned> entries = new LinkedHashMap<>();
    private final Set<Channel> open = new HashSet<>();
    private final Set<Channel> watches = new HashSet<>();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder answers = new LongAdder();
    private long index;
    private boolean stalled;
    private boolean overloaded;
    private long answerLateMs;
    private long lateMs;
    private Channel listener;
    private InetSocketAddress address;

    /** A service that does not listen yet. */
    public DiscoveryServer(EventLoop loop) {
        this.loop = loop;
        loop.scheduleAtFixedRate(
                () -> tell("\n"), EMPTY_LINE_MS, EMPTY_LINE_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts to listen on a port that the system chooses. */
    public void start() throws IOException {
        bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Bytes of its answers and watches so far, over all connections, without those of TCP. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Takes entries into the list, or changes them, in one version; {@code DELETED} ones leave it.
     */
    public void update(Collection<Entry> changed) {
        loop.submit(
                        () -> {
                            index++;
                            changed.forEach(e -> entries.put(e.name(), new Versioned(index, e)));
                            String line =
                                    text(index, false, changed.stream().map(Entry::json).toList())
                                            + "\n";
                            if (lateMs > 0) {
                                loop.schedule(() -> tell(line), lateMs, TimeUnit.MILLISECONDS);
                            } else {
                                tell(line);
                            }
                        })
                .syncUninterruptibly();
    }

    /** Calls that were answered with a list or with changes. */
    public long answers() {
        return answers.sum();
    }

    // ---- faults

    /**
     * Listens at another address from now on; the old one takes no new connections, and closes the
     * open ones a while later.
     *
     * @return the new address
     */
    public InetSocketAddress move() throws IOException {
        Channel old = listener;
        Set<Channel> openThere = loop.submit(() -> Set.copyOf(open)).syncUninterruptibly().getNow();
        bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        old.close().syncUninterruptibly();
        loop.schedule(
                () -> openThere.forEach(Channel::close),
                OLD_ADDRESS_CLOSES_MS,
                TimeUnit.MILLISECONDS);
        return address;
    }

    /** Writes a line to all watches as it stands, whether or not it is a change. */
    public void say(String line) {
        loop.submit(() -> tell(line + "\n")).syncUninterruptibly();
    }

    /** It is down: watches end, and calls are refused until {@link #up}. */
    public void down() {
        loop.submit(
                        () -> {
                            listener.close();
                            Set.copyOf(open).forEach(Channel::close);
                        })
                .syncUninterruptibly();
    }

    /** It is there again, at the same address. */
    public void up() throws IOException {
        bind(address);
    }

    /** Watches break off, once; calls are served on. */
    public void breakWatches() {
        loop.execute(() -> Set.copyOf(watches).forEach(Channel::close));
    }

    /** Whether it says nothing: connections stay open and silent. */
    public void stall(boolean on) {
        loop.execute(
                () -> {
                    stalled = on;
                    if (!on) {
                        // What was to be told meanwhile is told by the calls that follow the break.
                        Set.copyOf(open).forEach(Channel::close);
                    }
                });
    }

    /** Changes are told so much later from now on, in milliseconds; 0 for at once. */
    public void late(long ms) {
        loop.execute(() -> lateMs = ms);
    }

    /** Whether each call is turned away after a wait; watches that are open go on. */
    public void overload(boolean on) {
        loop.submit(() -> overloaded = on).syncUninterruptibly();
    }

    /** Calls are answered so much later from now on, in milliseconds; 0 for at once. */
    public void answerLate(long ms) {
        loop.submit(() -> answerLateMs = ms).syncUninterruptibly();
    }

    /** The whole list as it tells it now, with its version. */
    public Map<String, Object> snapshot() {
        return loop.submit(() -> message(index, true, listed())).syncUninterruptibly().getNow();
    }

    /** Ends it. */
    public void close() {
        down();
    }

    // ---- calls

    private void bind(InetSocketAddress at) throws IOException {
        var bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new SentBytes(),
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(1 << 16),
                                                        new Caller());
                                    }
                                })
                        .bind(at)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "discovery cannot listen at " + at + ": " + bound.cause().getMessage());
        }
        listener = bound.channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    private final class SentBytes extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                sentBytes.add(bytes.readableBytes());
            }
            ctx.write(message, promise);
        }
    }

    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(ctx.channel());
            ctx.channel()
                    .closeFuture()
                    .addListener(
                            closed -> {
                                open.remove(ctx.channel());
                                watches.remove(ctx.channel());
                            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (stalled) {
                return;
            }
            if (overloaded) {
                loop.schedule(
                        () -> whole(ctx.channel(), HttpResponseStatus.SERVICE_UNAVAILABLE, ""),
                        QUEUE_WAIT_MS,
                        TimeUnit.MILLISECONDS);
                return;
            }
            if (answerLateMs > 0) {
                String late = request.uri();
                loop.schedule(() -> answer(ctx, late), answerLateMs, TimeUnit.MILLISECONDS);
            } else {
                answer(ctx, request.uri());
            }
        }

        private void answer(ChannelHandlerContext ctx, String asked) {
            answers.increment();
            QueryStringDecoder uri = new QueryStringDecoder(asked);
            if (!uri.path().equals("/v1/endpoints")) {
                whole(ctx.channel(), HttpResponseStatus.NOT_FOUND, "");
            } else if (uri.parameters().containsKey("watch")) {
                watch(
                        ctx.channel(),
                        Long.parseLong(uri.parameters().getOrDefault("from", List.of("0")).get(0)));
            } else {
                whole(ctx.channel(), HttpResponseStatus.OK, list());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void watch(Channel channel, long from) {
        var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.write(head);
        watches.add(channel);
        String first =
                from > 0 && from <= index
                        ? text(
                                index,
                                false,
                                entries.values().stream()
                                        .filter(v -> v.index() > from)
                                        .map(v -> v.entry().json())
                                        .toList())
                        : list();
        channel.writeAndFlush(new DefaultHttpContent(bytes(first + "\n")));
    }

    private String list() {
        return text(index, true, listed());
    }

    private List<Map<String, Object>> listed() {
        return entries.values().stream()
                .map(Versioned::entry)
                .filter(e -> !e.status().equals("DELETED"))
                .map(Entry::json)
                .toList();
    }

    private void tell(String line) {
        if (!stalled) {
            watches.forEach(w -> w.writeAndFlush(new DefaultHttpContent(bytes(line))));
        }
    }

    private static void whole(Channel channel, HttpResponseStatus status, String body) {
        ByteBuf content = bytes(body);
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        channel.writeAndFlush(response);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static Map<String, Object> message(
            long index, boolean whole, List<Map<String, Object>> endpoints) {
        return Map.of("index", index, "snapshot", whole, "endpoints", endpoints);
    }

    private static String text(long index, boolean whole, List<Map<String, Object>> endpoints) {
        try {
            return JSON.writeValueAsString(message(index, whole, endpoints));
        } catch (JsonProcessingException cannotBe) {
            throw new IllegalStateException(cannotBe);
        }
    }
}
