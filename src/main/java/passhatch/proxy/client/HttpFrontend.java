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
public final class HttpFrontend {

    private static final int ACCEPT_BACKLOG = 1024;

    /** While a newer process takes over, one in so many answers sends its client away. */
    private static final int RESPONSES_PER_HANDOVER_CLOSE = 8;

    /** Time between two lines on clients let go: there may be hundreds a second. */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /** A connection may be closed once it had no open request for this long. */
    private static final long MIN_IDLE_US = 2_000_000;

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
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

    /** Those that have never sent a whole request, the longest silent first. */
    private final Set<ClientConnection> newConnections = new LinkedHashSet<>();

    /** Those that were told to go and may not have seen it yet. */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    private int evicted;
    private long nextLogUs = Long.MIN_VALUE;
    private Channel listener;
    private boolean markedUnready;
    private boolean stopped;
    private boolean closingAfterResponses;
    private boolean handingOver;
    private long responses;

    /**
     * A server that does not listen yet.
     *
     * @param budget of the bytes of bodies that are held
     * @param holdUps of the loop
     * @param descriptors shared with the backends' side; where there are too few, some connection
     *     is closed
     */
    public HttpFrontend(
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
                        .channelFactory(ListeningChannel::new)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
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
                                                        HttpFrontend.this, channel, loop);
                                        channel.pipeline()
                                                .addLast(
                                                        connection.readAhead(),
                                                        connection.new ReadObserver(),
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
        InetSocketAddress boundAddress = (InetSocketAddress) bound.channel().localAddress();
        loop.submit(() -> onListening(bound.channel())).sync();
        return boundAddress;
    }

    /** The order to end may have come before. */
    private void onListening(Channel channel) {
        listener = channel;
        if (stopped) {
            listener.close();
        }
    }

    /** Whether requests should come here: the list is known, and connections are taken. */
    public boolean ready() {
        return listener != null && listener.isActive() && !markedUnready && requests.ready();
    }

    /** From now on callers that ask are told not to begin with this proxy. */
    public void markUnready() {
        markedUnready = true;
    }

    /** Lets each client go with its next answer. */
    public void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /** Whether clients should go over to a newer process, a few at a time. */
    public void setHandover(boolean on) {
        handingOver = on;
    }

    /**
     * Whether a client is kept for a next request; not where this process ends, or others wait for
     * room.
     */
    boolean keepAliveAfterResponse() {
        responses++;
        return !closingAfterResponses
                && !descriptors.scarce()
                && !(handingOver && responses % RESPONSES_PER_HANDOVER_CLOSE == 0);
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
    public void closeIdle() {
        withoutOpenRequest()
                .filter(connection -> !connection.requestStarted())
                .toList()
                .forEach(ClientConnection::closeGracefully);
    }

    /**
     * Whether a connection is being ended and its client may not have seen it; it will not take
     * long.
     */
    public boolean closing() {
        return !closing.isEmpty();
    }

    /** Whether a request has begun to come in on any connection, and is not whole. */
    public boolean receivingRequest() {
        return withoutOpenRequest().anyMatch(ClientConnection::requestStarted);
    }

    private Stream<ClientConnection> withoutOpenRequest() {
        return Stream.concat(idleConnections.stream(), newConnections.stream());
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

    ReadAhead newReadAhead() {
        return new ReadAhead(budget, READ_AHEAD);
    }

    /** The body that comes after a head. */
    RequestBody newBody(HttpRequest head, Relay.Source source) {
        long declared =
                head.decoderResult().isSuccess() ? HttpUtil.getContentLength(head, -1L) : -1;
        return new RequestBody(loop, budget, declared, source);
    }

    void connected(ClientConnection connection) {
        descriptors.addClients(1);
        newConnections.add(connection);
        if (descriptors.limitExceeded()) {
            evictOne(connection);
        }
    }

    /**
     * Bytes have come: of those that never sent a request, the one that is silent for longest goes
     * first.
     */
    void bytesReceived(ClientConnection connection) {
        if (newConnections.remove(connection)) {
            newConnections.add(connection);
        }
    }

    /** It has sent a request. */
    void markBusy(ClientConnection connection) {
        idleConnections.remove(connection);
        newConnections.remove(connection);
    }

    /** All that it asked for is answered. */
    void markIdle(ClientConnection connection) {
        connection.idleSinceUs(clock.nowUs());
        idleConnections.add(connection);
    }

    /** It was told to go. */
    void closing(ClientConnection connection) {
        markBusy(connection);
        closing.add(connection);
    }

    void disconnected(ClientConnection connection) {
        markBusy(connection);
        closing.remove(connection);
        descriptors.addClients(-1);
    }

    /**
     * Clients know that a connection may be closed once it has been idle for a while. A client that
     * was served just now comes after those that may never send anything.
     */
    private void evictOne(ClientConnection newcomer) {
        evicted++;
        if (clock.nowUs() >= nextLogUs) {
            nextLogUs = clock.nowUs() + LOG_INTERVAL_US;
            log.line(
                    descriptors.clients()
                            + " clients are connected, too many: "
                            + evicted
                            + " let go so far");
        }
        ClientConnection longestIdle =
                idleConnections.isEmpty() ? null : idleConnections.iterator().next();
        ClientConnection victim =
                !closing.isEmpty()
                        ? closing.iterator().next()
                        : longestIdle != null
                                        && (newConnections.size() <= 1
                                                || longestIdle.idleSinceUs()
                                                        <= clock.nowUs() - MIN_IDLE_US)
                                ? longestIdle
                                : newConnections.size() > 1
                                        ? newConnections.iterator().next()
                                        : newcomer;
        // The news of its end comes in a later step of the loop; until then it must not be chosen
        // again.
        markBusy(victim);
        closing.remove(victim);
        victim.close();
    }

    /** How long a request read now may have stood unread, in microseconds. */
    long unreadUs() {
        return holdUps.unreadUs(clock.nowUs());
    }
}
