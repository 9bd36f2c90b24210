package passhatch.proxy.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Stream;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.DescriptorLimits;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.StallDetector;
import passhatch.proxy.flow.BufferBudget;
import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.RequestBody;

/** The callers' side: takes requests over HTTP and gives each its one answer. */
public final class ClientServer {

    private static final int BACKLOG = 1024;

    /** While a newer process takes over, one in so many answers sends its client away. */
    private static final int SENT_AWAY = 8;

    /** Time between two lines on clients let go: there may be hundreds a second. */
    private static final long SAY_AGAIN_US = 10_000_000;

    /** A connection may be closed once it had no open request for this long. */
    private static final long IDLE_US = 2_000_000;

    /** As much as is kept of a body: the rest of most that do not fit, or some hundred requests. */
    private static final int READ_AHEAD = RequestBody.MAX_REPLAYABLE_BYTES;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final RequestParser parser;
    private final RequestHandler requests;
    private final BufferBudget budget;
    private final DescriptorLimits descriptors;
    private final StallDetector holdUps;

    /** Connections that were served and have no request out, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** Those that have never sent a whole request, the longest silent first. */
    private final Set<ClientConnection> strangers = new LinkedHashSet<>();

    /** Those that were told to go and may not have seen it yet. */
    private final Set<ClientConnection> ending = new LinkedHashSet<>();

    private int letGo;
    private long sayAgainUs = Long.MIN_VALUE;
    private Channel listener;
    private boolean unready;
    private boolean stopped;
    private boolean draining;
    private boolean sharing;
    private long answers;

    /**
     * A server that does not listen yet.
     *
     * @param budget of the bytes of bodies that are held
     * @param holdUps of the loop
     * @param descriptors shared with the backends' side; where there are too few, some connection
     *     is closed
     */
    public ClientServer(
            EventLoop loop,
            Clock clock,
            EventLog log,
            RequestParser parser,
            RequestHandler requests,
            BufferBudget budget,
            DescriptorLimits descriptors,
            StallDetector holdUps) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.parser = parser;
        this.requests = requests;
        this.budget = budget;
        this.descriptors = descriptors;
        this.holdUps = holdUps;
    }

    /** Starts to listen and waits until it does. */
    public InetSocketAddress listen(InetSocketAddress address)
            throws IOException, InterruptedException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channelFactory(Listener::new)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .handler(new AcceptRetry(log))
                        // At a change of version two processes listen here.
                        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Relay.WATER_MARK)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, Relay.READ_SIZES)
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        ClientConnection connection =
                                                new ClientConnection(
                                                        ClientServer.this, channel, loop);
                                        channel.pipeline()
                                                .addLast(
                                                        connection.reads(),
                                                        connection.new Arrivals(),
                                                        new RequestDecoder(),
                                                        new HttpResponseEncoder(),
                                                        connection);
                                    }
                                })
                        .bind(address)
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException(bound.cause().getMessage());
        }
        InetSocketAddress at = (InetSocketAddress) bound.channel().localAddress();
        loop.submit(() -> listensAt(bound.channel())).sync();
        return at;
    }

    /** The order to end may have come before. */
    private void listensAt(Channel channel) {
        listener = channel;
        if (stopped) {
            listener.close();
        }
    }

    /** Whether requests should come here: the list is known, and connections are taken. */
    public boolean ready() {
        return listener != null && listener.isActive() && !unready && requests.ready();
    }

    /** From now on callers that ask are told not to begin with this proxy. */
    public void unready() {
        unready = true;
    }

    /** Lets each client go with its next answer. */
    public void sendAway() {
        draining = true;
    }

    /** Whether clients should go over to a newer process, a few at a time. */
    public void share(boolean on) {
        sharing = on;
    }

    /**
     * Whether a client is kept for a next request; not where this process ends, or others wait for
     * room.
     */
    boolean keepsClient() {
        answers++;
        return !draining && !descriptors.scarce() && !(sharing && answers % SENT_AWAY == 0);
    }

    /**
     * Takes no more connections; those open are served on. The order to end may come before it
     * listens.
     */
    public void stopListening() {
        stopped = true;
        if (listener != null) {
            listener.close();
        }
    }

    /** Ends the connections on which nothing is out, as clients expect between requests. */
    public void endIdle() {
        unused().filter(c -> !c.started()).toList().forEach(ClientConnection::end);
    }

    /**
     * Whether a connection is being ended and its client may not have seen it; it will not take
     * long.
     */
    public boolean ending() {
        return !ending.isEmpty();
    }

    /** Whether a request has begun to come in on any connection, and is not whole. */
    public boolean receiving() {
        return unused().anyMatch(ClientConnection::started);
    }

    private Stream<ClientConnection> unused() {
        return Stream.concat(idle.stream(), strangers.stream());
    }

    // ---- for the connections

    RequestHandler requests() {
        return requests;
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

    ReadAhead readAhead() {
        return new ReadAhead(budget, READ_AHEAD);
    }

    /** The body that comes after a head. */
    RequestBody body(HttpRequest head, Relay.Source source) {
        long declared =
                head.decoderResult().isSuccess() ? HttpUtil.getContentLength(head, -1L) : -1;
        return new RequestBody(loop, budget, declared, source);
    }

    void arrived(ClientConnection c) {
        descriptors.addClients(1);
        strangers.add(c);
        if (descriptors.limitExceeded()) {
            letOneGo(c);
        }
    }

    /**
     * Bytes have come: of those that never sent a request, the one that is silent for longest goes
     * first.
     */
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
        c.idleSince(clock.nowUs());
        idle.add(c);
    }

    /** It was told to go. */
    void ending(ClientConnection c) {
        busy(c);
        ending.add(c);
    }

    void left(ClientConnection c) {
        busy(c);
        ending.remove(c);
        descriptors.addClients(-1);
    }

    /**
     * Clients know that a connection may be closed once it has been idle for a while. A client that
     * was served just now comes after those that may never send anything.
     */
    private void letOneGo(ClientConnection newcomer) {
        letGo++;
        if (clock.nowUs() >= sayAgainUs) {
            sayAgainUs = clock.nowUs() + SAY_AGAIN_US;
            log.line(
                    descriptors.clients()
                            + " clients are connected, too many: "
                            + letGo
                            + " let go so far");
        }
        ClientConnection longestIdle = idle.isEmpty() ? null : idle.iterator().next();
        ClientConnection goes =
                !ending.isEmpty()
                        ? ending.iterator().next()
                        : longestIdle != null
                                        && (strangers.size() <= 1
                                                || longestIdle.idleSince()
                                                        <= clock.nowUs() - IDLE_US)
                                ? longestIdle
                                : strangers.size() > 1 ? strangers.iterator().next() : newcomer;
        // The news of its end comes in a later step of the loop; until then it must not be chosen
        // again.
        busy(goes);
        ending.remove(goes);
        goes.close();
    }

    /** How long a request read now may have stood unread, in microseconds. */
    long unreadUs() {
        return holdUps.unreadUs(clock.nowUs());
    }
}
