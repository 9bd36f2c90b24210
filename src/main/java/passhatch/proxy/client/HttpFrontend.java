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

/** Accepts client connections, and gives each HTTP request its one response. */
public final class HttpFrontend {

    private static final int ACCEPT_BACKLOG = 1024;

    /** While a newer process takes over, one in this many responses closes its connection. */
    private static final int RESPONSES_PER_HANDOVER_CLOSE = 8;

    /**
     * Time between two log lines on evicted connections, in microseconds: there may be hundreds of
     * evictions a second.
     */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /** A connection may be closed once it had no open request for this long, in microseconds. */
    private static final long MIN_IDLE_US = 2_000_000;

    /**
     * Bytes to read ahead per connection, equal to the limit of a buffered body: enough for the
     * rest of most bodies that exceed it, or for some hundred requests.
     */
    private static final int MAX_READ_AHEAD_BYTES = RequestBody.MAX_REPLAYABLE_BYTES;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final RequestParser parser;
    private final RequestHandler requests;
    private final BufferBudget budget;
    private final DescriptorLimits descriptors;
    private final StallDetector stallDetector;

    /** Connections that were served and have no open request, the longest idle first. */
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

    /** Connections that have never sent a complete request, the longest silent first. */
    private final Set<ClientConnection> newConnections = new LinkedHashSet<>();

    /** Connections that are being closed, whose clients may not have seen it yet. */
    private final Set<ClientConnection> closingConnections = new LinkedHashSet<>();

    private int evictedCount;
    private long nextLogUs = Long.MIN_VALUE;
    private Channel listener;
    private boolean markedUnready;
    private boolean listeningStopped;
    private boolean closingAfterResponses;
    private boolean handingOver;
    private long responseCount;

    /**
     * Creates a server that does not listen yet.
     *
     * @param budget limits the buffered bytes of bodies
     * @param descriptors counts the open connections, together with those to backends; if there are
     *     too many, one is closed
     * @param stallDetector measures how long the event loop was stalled
     */
    public HttpFrontend(
            EventLoop loop,
            Clock clock,
            EventLog log,
            RequestParser parser,
            RequestHandler requests,
            BufferBudget budget,
            DescriptorLimits descriptors,
            StallDetector stallDetector) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.parser = parser;
        this.requests = requests;
        this.budget = budget;
        this.descriptors = descriptors;
        this.stallDetector = stallDetector;
    }

    /** Starts to listen and returns once the socket is bound. */
    public InetSocketAddress listen(InetSocketAddress address)
            throws IOException, InterruptedException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channelFactory(ListeningChannel::new)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .handler(new AcceptRetry(log))
                        // During a change of version two processes listen on this address.
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

    /** Closes the listener at once if {@link #stopListening} was called before. */
    private void onListening(Channel channel) {
        listener = channel;
        if (listeningStopped) {
            listener.close();
        }
    }

    /**
     * Returns whether clients should send requests here: the list of servers is known, and
     * connections are accepted.
     */
    public boolean ready() {
        return listener != null && listener.isActive() && !markedUnready && requests.ready();
    }

    /** Reports not ready from now on, so that clients do not start to use this proxy. */
    public void markUnready() {
        markedUnready = true;
    }

    /** Closes each connection with its next response. */
    public void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /** Sets whether clients should move to a newer process, a few at a time. */
    public void setHandover(boolean on) {
        handingOver = on;
    }

    /**
     * Counts a response and returns whether its connection may stay open: not if this process shuts
     * down, if descriptors are scarce, or if it is this response's turn during a handover.
     */
    boolean keepAliveAfterResponse() {
        responseCount++;
        return !closingAfterResponses
                && !descriptors.scarce()
                && !(handingOver && responseCount % RESPONSES_PER_HANDOVER_CLOSE == 0);
    }

    /**
     * Stops accepting connections; those that are open are still served. May be called before the
     * server listens.
     */
    public void stopListening() {
        listeningStopped = true;
        if (listener != null) {
            listener.close();
        }
    }

    /** Closes the connections without an open request, for which clients are prepared. */
    public void closeIdleConnections() {
        connectionsWithoutOpenRequest()
                .filter(connection -> !connection.requestStarted())
                .toList()
                .forEach(ClientConnection::closeGracefully);
    }

    /**
     * Returns whether a connection is being closed whose client may not have seen it yet; this does
     * not last long.
     */
    public boolean closing() {
        return !closingConnections.isEmpty();
    }

    /** Returns whether a connection without an open request has received part of a new one. */
    public boolean receivingRequest() {
        return connectionsWithoutOpenRequest().anyMatch(ClientConnection::requestStarted);
    }

    private Stream<ClientConnection> connectionsWithoutOpenRequest() {
        return Stream.concat(idleConnections.stream(), newConnections.stream());
    }

    // ---- called by the connections

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
        return new ReadAhead(budget, MAX_READ_AHEAD_BYTES);
    }

    /** Creates the body that follows a request's head. */
    RequestBody newBody(HttpRequest head, Relay.Source source) {
        long declared =
                head.decoderResult().isSuccess() ? HttpUtil.getContentLength(head, -1L) : -1;
        return new RequestBody(loop, budget, declared, source);
    }

    void onConnected(ClientConnection connection) {
        descriptors.addClients(1);
        newConnections.add(connection);
        if (descriptors.limitExceeded()) {
            evictOne(connection);
        }
    }

    /**
     * Called when bytes have arrived: of the connections that never sent a request, the one that is
     * silent for longest is closed first.
     */
    void onBytesReceived(ClientConnection connection) {
        if (newConnections.remove(connection)) {
            newConnections.add(connection);
        }
    }

    /** Called when a connection has an open request. */
    void markBusy(ClientConnection connection) {
        idleConnections.remove(connection);
        newConnections.remove(connection);
    }

    /** Called when a connection has no open request any more. */
    void markIdle(ClientConnection connection) {
        connection.idleSinceUs(clock.nowUs());
        idleConnections.add(connection);
    }

    /** Called when a connection is being closed. */
    void closing(ClientConnection connection) {
        markBusy(connection);
        closingConnections.add(connection);
    }

    void onDisconnected(ClientConnection connection) {
        markBusy(connection);
        closingConnections.remove(connection);
        descriptors.addClients(-1);
    }

    /**
     * Closes a connection to make room. Clients know that a connection may be closed once it has
     * been idle for a while. A client that was served recently is preferred to connections that may
     * never send a request.
     */
    private void evictOne(ClientConnection newcomer) {
        evictedCount++;
        if (clock.nowUs() >= nextLogUs) {
            nextLogUs = clock.nowUs() + LOG_INTERVAL_US;
            log.line(
                    descriptors.clients()
                            + " clients are connected, too many: "
                            + evictedCount
                            + " let go so far");
        }
        ClientConnection longestIdle =
                idleConnections.isEmpty() ? null : idleConnections.iterator().next();
        ClientConnection victim =
                !closingConnections.isEmpty()
                        ? closingConnections.iterator().next()
                        : longestIdle != null
                                        && (newConnections.size() <= 1
                                                || longestIdle.idleSinceUs()
                                                        <= clock.nowUs() - MIN_IDLE_US)
                                ? longestIdle
                                : newConnections.size() > 1
                                        ? newConnections.iterator().next()
                                        : newcomer;
        // The connection is reported as closed in a later iteration of the event loop; until then
        // it must not be chosen again.
        markBusy(victim);
        closingConnections.remove(victim);
        victim.close();
    }

    /**
     * Returns how long a request that is read now may have been waiting unread, in microseconds.
     */
    long unreadUs() {
        return stallDetector.unreadUs(clock.nowUs());
    }
}
