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
 * Stand-in for discovery that behaves as the protocol describes: it answers calls with the whole
 * list of backends, and sends one line per change to each open watch. It can go down, stall or
 * notify late. All of its state belongs to one event loop.
 */
public final class DiscoveryServer {

    private static final long EMPTY_LINE_INTERVAL_MS = 2_000;

    /**
     * Time between a change of the service's address and the close of connections to the old
     * address.
     */
    private static final long OLD_ADDRESS_CLOSE_DELAY_MS = 1_500;

    /**
     * Time that a call waits in the queue of an overloaded service before the service rejects the
     * call.
     */
    private static final long OVERLOAD_QUEUE_WAIT_MS = 2_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * One backend in the list of endpoints.
     *
     * @param startedAtMs time of the backend's last start in Unix milliseconds; 0 if that was long
     *     ago
     */
    public record Endpoint(
            String name, InetSocketAddress address, String status, long startedAtMs) {
        private Map<String, Object> toMap() {
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
                    startedAtMs);
        }
    }

    private record VersionedEndpoint(long version, Endpoint endpoint) {}

    private final EventLoop loop;
    private final Map<String, VersionedEndpoint> endpoints = new LinkedHashMap<>();
    private final Set<Channel> connections = new HashSet<>();
    private final Set<Channel> watches = new HashSet<>();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder answeredCalls = new LongAdder();
    private long version;
    private boolean stalled;
    private boolean overloaded;
    private long responseDelayMs;
    private long notificationDelayMs;
    private Channel listener;
    private InetSocketAddress address;

    /** Creates a service that does not listen yet. */
    public DiscoveryServer(EventLoop loop) {
        this.loop = loop;
        loop.scheduleAtFixedRate(
                () -> sendToWatches("\n"),
                EMPTY_LINE_INTERVAL_MS,
                EMPTY_LINE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Starts the service on a port chosen by the system. */
    public void start() throws IOException {
        bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public InetSocketAddress address() {
        return address;
    }

    /**
     * Returns the number of bytes sent so far in responses and watches, without the overhead of
     * TCP.
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Adds or changes endpoints in one new version of the list. Endpoints with status {@code
     * DELETED} are removed from the list.
     */
    public void update(Collection<Endpoint> changed) {
        loop.submit(
                        () -> {
                            version++;
                            changed.forEach(
                                    e ->
                                            endpoints.put(
                                                    e.name(), new VersionedEndpoint(version, e)));
                            String line =
                                    formatMessage(
                                                    version,
                                                    false,
                                                    changed.stream().map(Endpoint::toMap).toList())
                                            + "\n";
                            if (notificationDelayMs > 0) {
                                loop.schedule(
                                        () -> sendToWatches(line),
                                        notificationDelayMs,
                                        TimeUnit.MILLISECONDS);
                            } else {
                                sendToWatches(line);
                            }
                        })
                .syncUninterruptibly();
    }

    /**
     * Returns the number of calls answered so far; calls rejected by an overloaded service do not
     * count.
     */
    public long answeredCalls() {
        return answeredCalls.sum();
    }

    // ---- faults

    /**
     * Moves the service to a new address. The old address accepts no new connections, and open
     * connections to the old address are closed after a delay.
     *
     * @return the new address
     */
    public InetSocketAddress changeAddress() throws IOException {
        Channel oldListener = listener;
        Set<Channel> oldConnections =
                loop.submit(() -> Set.copyOf(connections)).syncUninterruptibly().getNow();
        bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        oldListener.close().syncUninterruptibly();
        loop.schedule(
                () -> oldConnections.forEach(Channel::close),
                OLD_ADDRESS_CLOSE_DELAY_MS,
                TimeUnit.MILLISECONDS);
        return address;
    }

    /** Sends a line to all watches unchanged, whether or not the line is a valid change. */
    public void sendLine(String line) {
        loop.submit(() -> sendToWatches(line + "\n")).syncUninterruptibly();
    }

    /**
     * Takes the service down: closes all connections and refuses new connections until {@link
     * #bringUp}.
     */
    public void takeDown() {
        loop.submit(
                        () -> {
                            listener.close();
                            Set.copyOf(connections).forEach(Channel::close);
                        })
                .syncUninterruptibly();
    }

    /** Brings the service up again at the same address. */
    public void bringUp() throws IOException {
        bind(address);
    }

    /** Closes all open watches; the service still answers calls and accepts new watches. */
    public void closeWatches() {
        loop.execute(() -> Set.copyOf(watches).forEach(Channel::close));
    }

    /** Sets whether the service is stalled: connections stay open, but nothing is sent. */
    public void setStalled(boolean on) {
        loop.execute(
                () -> {
                    stalled = on;
                    if (!on) {
                        // Clients call again and so receive the changes made in the meantime.
                        Set.copyOf(connections).forEach(Channel::close);
                    }
                });
    }

    /**
     * Sets the delay in milliseconds with which later changes are sent to watches; 0 for no delay.
     */
    public void setNotificationDelay(long delayMs) {
        loop.execute(() -> notificationDelayMs = delayMs);
    }

    /**
     * Sets whether the service is overloaded: it then rejects each call after a wait, and serves
     * open watches as before.
     */
    public void setOverloaded(boolean on) {
        loop.submit(() -> overloaded = on).syncUninterruptibly();
    }

    /** Sets the delay in milliseconds with which later calls are answered; 0 for no delay. */
    public void setResponseDelay(long delayMs) {
        loop.submit(() -> responseDelayMs = delayMs).syncUninterruptibly();
    }

    /** Returns the message that holds the whole current list and its version. */
    public Map<String, Object> snapshot() {
        return loop.submit(() -> createMessage(version, true, listedEndpoints()))
                .syncUninterruptibly()
                .getNow();
    }

    /** Stops the service. */
    public void close() {
        takeDown();
    }

    // ---- calls

    private void bind(InetSocketAddress listenAddress) throws IOException {
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
                                                        new SentBytesCounter(),
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(1 << 16),
                                                        new CallHandler());
                                    }
                                })
                        .bind(listenAddress)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "discovery cannot listen at "
                            + listenAddress
                            + ": "
                            + bound.cause().getMessage());
        }
        listener = bound.channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    private final class SentBytesCounter extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                sentBytes.add(bytes.readableBytes());
            }
            ctx.write(message, promise);
        }
    }

    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
            ctx.channel()
                    .closeFuture()
                    .addListener(
                            closed -> {
                                connections.remove(ctx.channel());
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
                        () -> respond(ctx.channel(), HttpResponseStatus.SERVICE_UNAVAILABLE, ""),
                        OVERLOAD_QUEUE_WAIT_MS,
                        TimeUnit.MILLISECONDS);
                return;
            }
            if (responseDelayMs > 0) {
                String target = request.uri();
                loop.schedule(() -> handle(ctx, target), responseDelayMs, TimeUnit.MILLISECONDS);
            } else {
                handle(ctx, request.uri());
            }
        }

        private void handle(ChannelHandlerContext ctx, String target) {
            answeredCalls.increment();
            QueryStringDecoder uri = new QueryStringDecoder(target);
            if (!uri.path().equals("/v1/endpoints")) {
                respond(ctx.channel(), HttpResponseStatus.NOT_FOUND, "");
            } else if (uri.parameters().containsKey("watch")) {
                startWatch(
                        ctx.channel(),
                        Long.parseLong(uri.parameters().getOrDefault("from", List.of("0")).get(0)));
            } else {
                respond(ctx.channel(), HttpResponseStatus.OK, formatSnapshot());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void startWatch(Channel channel, long fromVersion) {
        var responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        responseHead.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.write(responseHead);
        watches.add(channel);
        String firstLine =
                fromVersion > 0 && fromVersion <= version
                        ? formatMessage(
                                version,
                                false,
                                endpoints.values().stream()
                                        .filter(v -> v.version() > fromVersion)
                                        .map(v -> v.endpoint().toMap())
                                        .toList())
                        : formatSnapshot();
        channel.writeAndFlush(new DefaultHttpContent(encodeUtf8(firstLine + "\n")));
    }

    private String formatSnapshot() {
        return formatMessage(version, true, listedEndpoints());
    }

    private List<Map<String, Object>> listedEndpoints() {
        return endpoints.values().stream()
                .map(VersionedEndpoint::endpoint)
                .filter(e -> !e.status().equals("DELETED"))
                .map(Endpoint::toMap)
                .toList();
    }

    private void sendToWatches(String line) {
        if (!stalled) {
            watches.forEach(w -> w.writeAndFlush(new DefaultHttpContent(encodeUtf8(line))));
        }
    }

    private static void respond(Channel channel, HttpResponseStatus status, String body) {
        ByteBuf content = encodeUtf8(body);
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        channel.writeAndFlush(response);
    }

    private static ByteBuf encodeUtf8(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static Map<String, Object> createMessage(
            long version, boolean snapshot, List<Map<String, Object>> endpoints) {
        return Map.of("index", version, "snapshot", snapshot, "endpoints", endpoints);
    }

    private static String formatMessage(
            long version, boolean snapshot, List<Map<String, Object>> endpoints) {
        try {
            return JSON.writeValueAsString(createMessage(version, snapshot, endpoints));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
