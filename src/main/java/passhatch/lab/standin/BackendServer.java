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

    private static final int MOST_BODY = 1 << 16;

    /**
     * What a backend can do.
     *
     * @param cores requests that it works on at full speed; more share them
     * @param slots requests that it works on at all
     * @param queue requests that wait beside these; more are turned away
     * @param connections that it holds; more are closed at once
     * @param coldShare part of its capacity right after a start
     * @param coldUs time in microseconds until it is at its full capacity, which grows evenly
     */
    public record Shape(
            int cores,
            int slots,
            int queue,
            int connections,
            ServiceTime service,
            double coldShare,
            long coldUs) {}

    /** How it does. */
    public enum Health {
        WELL,
        SLOW,
        HUNG,
        FAILING,
        RESETTING
    }

    private final String name;
    private final Shape shape;
    private final EventLoop loop;
    private final Ledger ledger;
    private final UniformRandomProvider random;
    private final ContinuousSampler work;
    private final Set<Channel> open = new HashSet<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private int working;
    private Health health = Health.WELL;
    private double extent;
    private long startedNs = System.nanoTime() - TimeUnit.HOURS.toNanos(1);
    private boolean draining;
    private boolean acceptsDraining;
    private long drainToldNs;
    private Channel listener;
    private InetSocketAddress address;

    /** A backend that does not listen yet. */
    public BackendServer(
            String name, Shape shape, EventLoop loop, Ledger ledger, UniformRandomProvider random) {
        this.name = name;
        this.shape = shape;
        this.loop = loop;
        this.ledger = ledger;
        this.random = random;
        this.work = shape.service().sampler(random);
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
     * @param howMuch for {@code SLOW} the factor on its times; for {@code FAILING} and {@code
     *     RESETTING} the share of requests that it happens to; else it has no meaning
     */
    public void health(Health now, double howMuch) {
        loop.execute(
                () -> {
                    health = now;
                    extent = howMuch;
                });
    }

    /**
     * It drains: it finishes what it holds and turns away all else.
     *
     * @param toldAfterMs when proxies count as told of it, in milliseconds from now; what comes
     *     later than that and the grace breaks the rule
     */
    public void drain(long toldAfterMs) {
        drain(toldAfterMs, false);
    }

    /** The same of a backend that goes on accepting requests, for as long as it runs. */
    public void drainAndAccept(long toldAfterMs) {
        drain(toldAfterMs, true);
    }

    private void drain(long toldAfterMs, boolean accepts) {
        loop.execute(
                () -> {
                    draining = true;
                    acceptsDraining = accepts;
                    drainToldNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(toldAfterMs);
                });
    }

    /** Its process dies: connections are reset, new ones refused, and its work is gone. */
    public void crash() {
        loop.submit(
                        () -> {
                            listener.close();
                            Set.copyOf(open).forEach(BackendServer::reset);
                            waiting.clear();
                        })
                .syncUninterruptibly();
    }

    /** It starts again at the same address, cold. */
    public void restart() throws IOException {
        loop.submit(
                        () -> {
                            health = Health.WELL;
                            draining = false;
                            startedNs = System.nanoTime();
                            working = 0;
                        })
                .syncUninterruptibly();
        bind(address);
    }

    /** Ends it. */
    public void close() {
        crash();
    }

    private void bind(InetSocketAddress at) throws IOException {
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
                                                        new HttpObjectAggregator(MOST_BODY),
                                                        new Connection());
                                    }
                                })
                        .bind(at)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    name + " cannot listen at " + at + ": " + bound.cause().getMessage());
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
    private record Job(Channel channel, String id) {}

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (open.size() >= shape.connections()) {
                reset(ctx.channel());
                return;
            }
            open.add(ctx.channel());
            ctx.channel().closeFuture().addListener(closed -> open.remove(ctx.channel()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String id = request.headers().get("X-Request-Id");
            if (id == null) {
                answer(ctx.channel(), HttpResponseStatus.NOT_FOUND, new byte[0], false);
                return;
            }
            boolean onceOnly =
                    request.method().equals(HttpMethod.POST)
                            && !request.headers().contains("Idempotency-Key");
            if (draining && System.nanoTime() - drainToldNs > DRAIN_GRACE_NS) {
                ledger.afterDrain();
            }
            boolean full = working >= shape.slots() && waiting.size() >= shape.queue();
            boolean turnsAway = full || draining && !acceptsDraining;
            ledger.arrived(id, onceOnly, !turnsAway);
            if (turnsAway) {
                answer(ctx.channel(), HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0], true);
            } else {
                waiting.add(new Job(ctx.channel(), id));
                workOn();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void workOn() {
        while (working < shape.slots() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (health == Health.HUNG) {
                continue; // it takes work and answers nothing
            }
            working++;
            double us = work.sample() * Math.max(1, (double) working / shape.cores()) / capacity();
            long life = startedNs;
            loop.schedule(
                    () -> {
                        if (life == startedNs) {
                            working--;
                            finish(job);
                            workOn();
                        }
                    },
                    (long) (health == Health.SLOW ? us * extent : us),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** The part of its full capacity that it has by now. */
    private double capacity() {
        double age = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedNs);
        return age >= shape.coldUs()
                ? 1
                : shape.coldShare() + (1 - shape.coldShare()) * age / shape.coldUs();
    }

    private void finish(Job job) {
        boolean hit = random.nextDouble() < extent;
        if (health == Health.RESETTING && hit) {
            reset(job.channel());
        } else if (health == Health.FAILING && hit) {
            answer(job.channel(), HttpResponseStatus.INTERNAL_SERVER_ERROR, new byte[0], false);
        } else if (health != Health.HUNG) {
            answer(job.channel(), HttpResponseStatus.OK, bodyFor(job.id()), false);
        }
    }

    private static void answer(
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
