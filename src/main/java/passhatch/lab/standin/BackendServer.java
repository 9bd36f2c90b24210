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
 * Stand-in for a backend that behaves as the protocol describes. It models cores, slots, a bounded
 * queue, a limit on connections, a cold start and injected faults. All of its state belongs to one
 * event loop.
 */
public final class BackendServer {

    /**
     * How long proxies may still send requests to the backend after they are deemed notified of its
     * drain: the protocol's grace of 750 ms and its margin of 50 ms.
     */
    private static final long DRAIN_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(750 + 50);

    private static final int MAX_REQUEST_BODY_BYTES = 1 << 23;

    /**
     * Capacity of a backend.
     *
     * @param cores number of requests that run at full speed; more requests share the cores
     * @param slots maximum number of requests that run at the same time
     * @param maxQueuedRequests maximum number of requests that wait for a slot; further requests
     *     are rejected
     * @param maxConnections maximum number of open connections; further connections are reset at
     *     once
     * @param serviceTime time that a request takes if it has a core for itself
     * @param coldCapacityFraction fraction of the full capacity right after a start
     * @param warmUpUs time in microseconds from a start to full capacity; the capacity grows
     *     linearly
     */
    public record Capacity(
            int cores,
            int slots,
            int maxQueuedRequests,
            int maxConnections,
            ServiceTime serviceTime,
            double coldCapacityFraction,
            long warmUpUs) {}

    /** Health of a backend, as set by injected faults. */
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
    private int runningRequestCount;
    private Health health = Health.HEALTHY;
    private double faultSeverity;
    private long startedNs = System.nanoTime() - TimeUnit.HOURS.toNanos(1);
    private boolean draining;
    private boolean acceptsWhileDraining;
    private long drainNotifiedNs;
    private Channel listener;
    private InetSocketAddress address;

    /** Creates a backend that does not listen yet. */
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

    /** Starts the backend on a port chosen by the system, at full capacity. */
    public void start() throws IOException {
        bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public String name() {
        return name;
    }

    public InetSocketAddress address() {
        return address;
    }

    /**
     * Returns the body of the response to a request; clients compare the body that they receive
     * with this body.
     */
    public static byte[] responseBodyFor(String id) {
        return ("answer to " + id).getBytes(StandardCharsets.US_ASCII);
    }

    // ---- faults

    /**
     * Sets the health of the backend.
     *
     * @param newSeverity for {@code SLOW}, the factor by which service times grow; for {@code
     *     FAILING} and {@code RESETTING}, the fraction of requests affected; otherwise unused
     */
    public void setHealth(Health newHealth, double newSeverity) {
        loop.execute(
                () -> {
                    health = newHealth;
                    faultSeverity = newSeverity;
                });
    }

    /**
     * Starts draining: the backend finishes the requests that it already has and rejects new ones.
     *
     * @param notifiedAfterMs time in milliseconds from now at which proxies are deemed notified of
     *     the drain; requests that arrive after that time plus the grace violate the protocol
     */
    public void drain(long notifiedAfterMs) {
        drain(notifiedAfterMs, false);
    }

    /** Starts draining, but the backend goes on accepting requests for as long as it runs. */
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

    /**
     * Simulates a crash: resets all connections, refuses new connections and abandons all requests.
     */
    public void crash() {
        loop.submit(
                        () -> {
                            listener.close();
                            Set.copyOf(connections).forEach(BackendServer::reset);
                            queue.clear();
                        })
                .syncUninterruptibly();
    }

    /** Starts the backend again at the same address, with the capacity of a cold start. */
    public void restart() throws IOException {
        loop.submit(
                        () -> {
                            health = Health.HEALTHY;
                            draining = false;
                            startedNs = System.nanoTime();
                            runningRequestCount = 0;
                        })
                .syncUninterruptibly();
        bind(address);
    }

    /** Stops the backend. */
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

    /** A request that was received completely and waits for a slot. */
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
                    runningRequestCount >= capacity.slots()
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
        while (runningRequestCount < capacity.slots() && !queue.isEmpty()) {
            QueuedRequest request = queue.poll();
            if (health == Health.HUNG) {
                continue; // a hung backend accepts requests and never responds
            }
            runningRequestCount++;
            double timeUs =
                    serviceTimeUs.sample()
                            * Math.max(1, (double) runningRequestCount / capacity.cores())
                            / capacityFraction();
            long startedNsWhenScheduled = startedNs;
            loop.schedule(
                    () -> {
                        if (startedNsWhenScheduled == startedNs) {
                            runningRequestCount--;
                            finishRequest(request);
                            startQueuedRequests();
                        }
                    },
                    (long) (health == Health.SLOW ? timeUs * faultSeverity : timeUs),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** Returns the fraction of its full capacity that this backend has now. */
    private double capacityFraction() {
        double uptimeUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedNs);
        return uptimeUs >= capacity.warmUpUs()
                ? 1
                : capacity.coldCapacityFraction()
                        + (1 - capacity.coldCapacityFraction()) * uptimeUs / capacity.warmUpUs();
    }

    private void finishRequest(QueuedRequest request) {
        boolean affected = random.nextDouble() < faultSeverity;
        if (health == Health.RESETTING && affected) {
            reset(request.channel());
        } else if (health == Health.FAILING && affected) {
            respond(
                    request.channel(),
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    new byte[0],
                    false);
        } else if (health != Health.HUNG) {
            respond(request.channel(), HttpResponseStatus.OK, responseBodyFor(request.id()), false);
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
