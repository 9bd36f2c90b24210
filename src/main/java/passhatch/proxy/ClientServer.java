package passhatch.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The callers' side: takes requests over HTTP and gives each its one answer. */
final class ClientServer {

    /** When a connection counts as full, and as free again. */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(1 << 14, 1 << 16);
    /** What is read at a time, as all of it is held until it has gone on. */
    static final RecvByteBufAllocator READS = new AdaptiveRecvByteBufAllocator(512, 2048, 1 << 14);
    private static final int BACKLOG = 1024;
    /** How often the loop checks whether it was held up. */
    private static final long BEAT_US = 10_000;
    /** Time between two lines on clients let go: there may be hundreds a second. */
    private static final long SAY_AGAIN_US = 10_000_000;
    /** Lateness of a beat that says nothing: timers fire up to a millisecond or two late. */
    private static final long BEAT_SLACK_US = 2_000;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final RequestParser parser;
    private final ProxyLoop proxy;
    private final ByteBudget budget;
    private int mostOpen;
    /** Connections with no request out, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Those of them that have never sent a whole request, the longest silent first. */
    private final Set<ClientConnection> strangers = new LinkedHashSet<>();
    private int open;
    private int letGo;
    private long sayAgainUs = Long.MIN_VALUE;
    private Channel listener;
    private boolean unready;
    private boolean draining;
    private long nextBeatUs;
    private long heldUpUs;

    /**
     * A server that does not listen yet.
     *
     * @param budget of the bytes of bodies that are held
     * @param mostOpen connections held at a time; the longest idle is closed for one more
     */
    ClientServer(EventLoop loop, Clock clock, EventLog log, RequestParser parser, ProxyLoop proxy,
            ByteBudget budget, int mostOpen) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.parser = parser;
        this.proxy = proxy;
        this.budget = budget;
        this.mostOpen = mostOpen;
        this.nextBeatUs = clock.nowUs();
        beat();
    }

    /** Starts to listen and waits until it does. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap().group(loop).channelFactory(Listener::new)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                // At a change of version two processes listen here.
                .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, READS)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ClientConnection connection = new ClientConnection(ClientServer.this, channel, loop);
                        channel.pipeline().addLast(connection.new Arrivals(), new RequestDecoder(),
                                new HttpResponseEncoder(), connection);
                    }
                }).bind(address).await();
        if (!bound.isSuccess()) {
            throw new IOException(bound.cause().getMessage());
        }
        listener = bound.channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** How many connections it may hold from now on; those beyond go as new ones come. */
    void limit(int most) {
        mostOpen = most;
    }

    /** Whether requests should come here: the list is known, and connections are taken. */
    boolean ready() {
        return listener != null && listener.isActive() && !unready && proxy.ready();
    }

    /** From now on callers that ask are told not to begin with this proxy. */
    void unready() {
        unready = true;
    }

    /** Lets each client go with its next answer. */
    void sendAway() {
        draining = true;
    }

    boolean sendsAway() {
        return draining;
    }

    /** Takes no more connections; those open are served on. */
    void stopListening() {
        listener.close();
    }

    /** Closes the connections on which nothing is out, as clients expect between requests. */
    void closeIdle() {
        List.copyOf(idle).stream().filter(c -> !c.started()).forEach(ClientConnection::close);
    }

    /** Whether a request has begun to come in on any connection, and is not whole. */
    boolean receiving() {
        return idle.stream().anyMatch(ClientConnection::started);
    }

    // ---- for the connections

    ProxyLoop proxy() {
        return proxy;
    }

    RequestParser parser() {
        return parser;
    }

    EventLog log() {
        return log;
    }

    long nowUs() {
        return clock.nowUs();
    }

    /** The body that comes after a head. */
    RequestBody body(HttpRequest head, Relay.Source source) {
        long declared = head.decoderResult().isSuccess() ? HttpUtil.getContentLength(head, -1L) : -1;
        return new RequestBody(loop, budget, declared, source);
    }

    void arrived(ClientConnection c) {
        open++;
        idle.add(c);
        strangers.add(c);
        if (open > mostOpen) {
            letOneGo(c);
        }
    }

    /** Bytes have come: of those that never sent a request, the one that is silent for longest goes first. */
    void active(ClientConnection c) {
        if (strangers.remove(c)) {
            strangers.add(c);
        }
    }

    /** It has sent a request. */
    void busy(ClientConnection c) {
        idle.remove(c);
        strangers.remove(c);
    }

    /** All that it asked for is answered. */
    void idle(ClientConnection c) {
        idle.add(c);
    }

    void left(ClientConnection c) {
        if (idle.remove(c)) {
            strangers.remove(c);
        }
        open--;
    }

    /** A client that was served before comes after those that may never send anything. */
    private void letOneGo(ClientConnection newcomer) {
        letGo++;
        if (clock.nowUs() >= sayAgainUs) {
            sayAgainUs = clock.nowUs() + SAY_AGAIN_US;
            log.line(open + " clients are connected, too many: " + letGo + " let go so far");
        }
        ClientConnection goes = strangers.size() > 1 ? strangers.iterator().next()
                : idle.size() > 1 ? idle.iterator().next() : newcomer;
        // The news of its end comes in a later step of the loop; until then it must not be chosen again.
        busy(goes);
        goes.close();
    }

    private void beat() {
        heldUpUs = lateUs();
        nextBeatUs = clock.nowUs() + BEAT_US;
        loop.schedule(this::beat, BEAT_US, TimeUnit.MICROSECONDS);
    }

    /** How late the next beat is already, where that is more than timers commonly are. */
    private long lateUs() {
        return Math.max(0, clock.nowUs() - nextBeatUs - BEAT_SLACK_US);
    }

    /**
     * How long a request read now may have stood unread: its client's time has run since it was sent, also
     * while this process was held up and read nothing. The loop may beat before it reads what came meanwhile,
     * so a beat's lateness counts until the next one.
     */
    long unreadUs() {
        return Math.max(heldUpUs, lateUs());
    }
}
