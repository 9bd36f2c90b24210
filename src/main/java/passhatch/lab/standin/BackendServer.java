package passhatch.lab.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;

/**
 * A backend by the protocol's page: cores, slots, a waiting room, a limit on connections, a cold
 * start, and the ways in which it can do badly. All of its state belongs to one event loop.
 */
public final class BackendServer {

    /**
     * A send to a draining backend is allowed for so long after it was told, with the page's slack.
     */
    private static final long DRAIN_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(750 + 50);

    private static final int MAX_REQUEST_BODY_BYTES = 1 << 16;

    /**
     * What a backend can do.
     *
     * @param cores requests that it works on at full speed; more share them
     * @param slots requests that it works on at all
     * @param maxQueuedRequests requests that wait beside these; more are turned away
     * @param maxConnections that it holds; more are closed at once
     * @param coldCapacityFraction part of its capacity right after a start
     * @param warmUpUs time in microseconds until it is at its full capacity, which grows evenly
     */
    public record Capacity(
            int cores,
            int slots,
            int maxQueuedRequests,
            int maxConnections,
            ServiceTime serviceTime,
            double coldCapacityFraction,
            long warmUpUs) {}

    /** How it does. */
    public enum Health {
        HEALTHY,
        SLOW,
        HUNG,
        FAILING,
        RESETTING
    }

    private final String name;
    private final Capacity capacity;
    private final EventLoop loop;
    private final RequestLedger ledger;
    private final UniformRandomProvider random;
    private final ContinuousSampler serviceTimeUs;
    private final Set<Channel> connections = new HashSet<>();
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private int runningRequests;
    private Health health = Health.HEALTHY;
    private double severity;
    private long startedNs = System.nanoTime() - TimeUnit.HOURS.toNanos(1);
    private boolean draining;
    private boolean acceptsWhileDraining;
    private long drainNotifiedNs;
    private Channel listener;
    private InetSocketAddress address;

    /** A backend that does not listen yet. */
    public BackendServer(
            String name,
            Capacity capacity,
            EventLoop loop,
            RequestLedger ledger,
            UniformRandomProvider random) {
        this.name = name;
        this.capacity = capacity;
        this.loop = loop;
        this.ledger = ledger;
        this.random = random;
        this.serviceTimeUs = capacity.serviceTime().sampler(random);
    }

    /** Starts to listen, warm, on a port that the system chooses. */
    public void start() throws IOException {
        bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public String name() {
        return name;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** The body of its answer to a request: what a client got can be checked with it. */
    public static byte[] bodyFor(String id) {
        return ("answer to " + id).getBytes(StandardCharsets.US_ASCII);
    }

    // ---- faults

    /**
     * How it does from now on.
     *
     * @param newSeverity for {@code SLOW} the factor on its times; for {@code FAILING} and {@code
     *     RESETTING} the share of requests that it happens to; else it has no meaning
     */
    public void setHealth(Health newHealth, double newSeverity) {
        loop.execute(
                () -> {
                    health = newHealth;
                    severity = newSeverity;
                });
    }

    /**
     * It drains: it finishes what it holds and turns away all else.
     *
     * @param notifiedAfterMs when proxies count as told of it, in milliseconds from now; what comes
     *     later than that and the grace breaks the rule
     */
    public void drain(long notifiedAfterMs) {
        drain(notifiedAfterMs, false);
    }

    /** The same of a backend that goes on accepting requests, for as long as it runs. */
    public void drainWhileAccepting(long notifiedAfterMs) {
        drain(notifiedAfterMs, true);
    }

    private void drain(long notifiedAfterMs, boolean acceptsRequests) {
        loop.execute(
                () -> {
                    draining = true;
                    acceptsWhileDraining = acceptsRequests;
                    drainNotifiedNs =
                            System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(notifiedAfterMs);
                });
    }

    /** Its process dies: connections are reset, new ones refused, and its work is gone. */
    public void crash() {
        loop.submit(
                        () -> {
                            listener.close();
                            Set.copyOf(connections).forEach(BackendServer::reset);
                            queue.clear();
                        })
                .syncUninterruptibly();
    }

    /** It starts again at the same address, cold. */
    public void restart() throws IOException {
        loop.submit(
                        () -> {
                            health = Health.HEALTHY;
                            draining = false;
                            startedNs = System.nanoTime();
                            runningRequests = 0;
                        })
                .syncUninterruptibly();
        bind(address);
    }

    /** Ends it. */
    public void close() {
        crash();
    }

    private void bind(InetSocketAddress listenAddress) throws IOException {
        var bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(
                                                                MAX_REQUEST_BODY_BYTES),
                                                        new Connection());
                                    }
                                })
                        .bind(listenAddress)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    name
                            + " cannot listen at "
                            + listenAddress
                            + ": "
                            + bound.cause().getMessage());
        }
        listener = bound.channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    // ---- requests

    /** A request that has come whole. */
    private record QueuedRequest(Channel channel, String id) {}

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= capacity.maxConnections()) {
                reset(ctx.channel());
                return;
            }
            connections.add(ctx.channel());
            ctx.channel().closeFuture().addListener(closed -> connections.remove(ctx.channel()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String id = request.headers().get("X-Request-Id");
            if (id == null) {
                respond(ctx.channel(), HttpResponseStatus.NOT_FOUND, new byte[0], false);
                return;
            }
            boolean atMostOnce =
                    request.method().equals(HttpMethod.POST)
                            && !request.headers().contains("Idempotency-Key");
            if (draining && System.nanoTime() - drainNotifiedNs > DRAIN_GRACE_NS) {
                ledger.recordAttemptAfterDrain();
            }
            boolean full =
                    runningRequests >= capacity.slots()
                            && queue.size() >= capacity.maxQueuedRequests();
            boolean rejects = full || draining && !acceptsWhileDraining;
            ledger.recordAttempt(id, atMostOnce, !rejects);
            if (rejects) {
                respond(ctx.channel(), HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0], true);
            } else {
                queue.add(new QueuedRequest(ctx.channel(), id));
                startQueuedRequests();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void startQueuedRequests() {
        while (runningRequests < capacity.slots() && !queue.isEmpty()) {
            QueuedRequest request = queue.poll();
            if (health == Health.HUNG) {
                continue; // it takes work and answers nothing
            }
            runningRequests++;
            double timeUs =
                    serviceTimeUs.sample()
                            * Math.max(1, (double) runningRequests / capacity.cores())
                            / availableFraction();
            long startedNsAtBegin = startedNs;
            loop.schedule(
                    () -> {
                        if (startedNsAtBegin == startedNs) {
                            runningRequests--;
                            finish(request);
                            startQueuedRequests();
                        }
                    },
                    (long) (health == Health.SLOW ? timeUs * severity : timeUs),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** The part of its full capacity that it has by now. */
    private double availableFraction() {
        double uptimeUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedNs);
        return uptimeUs >= capacity.warmUpUs()
                ? 1
                : capacity.coldCapacityFraction()
                        + (1 - capacity.coldCapacityFraction()) * uptimeUs / capacity.warmUpUs();
    }

    private void finish(QueuedRequest request) {
        boolean affected = random.nextDouble() < severity;
        if (health == Health.RESETTING && affected) {
            reset(request.channel());
        } else if (health == Health.FAILING && affected) {
            respond(
                    request.channel(),
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    new byte[0],
                    false);
        } else if (health != Health.HUNG) {
            respond(request.channel(), HttpResponseStatus.OK, bodyFor(request.id()), false);
        }
    }

    private static void respond(
            Channel channel, HttpResponseStatus status, byte[] body, boolean notRun) {
        var response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (notRun) {
            response.headers().set("X-Not-Run", "1");
        }
        channel.writeAndFlush(response);
    }
}
