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
import passhatch.proxy.base.PollCounter;
import passhatch.proxy.base.StallDetector;
import passhatch.proxy.client.InputArrival.LoopTime;
import passhatch.proxy.flow.BodyAdmission;
import passhatch.proxy.flow.BufferBudget;
import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.RequestBody;

/** Accepts client connections, and sends exactly one response to each HTTP request. */
public final class HttpFrontend {

    private static final int ACCEPT_BACKLOG = 1024;

    /**
     * While a newer process takes over from this one, one response in this many closes the
     * connection on which it is sent.
     */
    private static final int RESPONSES_PER_HANDOVER_CLOSE = 8;

    /**
     * Minimum time in microseconds between two log lines about evicted connections. There may be
     * hundreds of evictions a second.
     */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /**
     * Clients expect that a connection may be closed once it has had no open request for this time,
     * in microseconds.
     */
    private static final long MIN_IDLE_US = 2_000_000;

    /**
     * Maximum number of bytes per connection that are read and buffered before the proxy wants
     * them. It equals the maximum size of a body that can be sent again. That is enough for the
     * rest of most larger bodies, or for some hundred requests.
     */
    static final int MAX_READ_AHEAD_BYTES = RequestBody.MAX_REPLAYABLE_BYTES;

    /**
     * Maximum number of bytes of a read. All connections may have to hold one read each, besides
     * what the budget allows.
     */
    private static final int MAX_READ_BYTES = 1 << 12;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final RequestParser parser;
    private final RequestHandler requests;
    private final BufferBudget budget;
    private final BodyAdmission bodyAdmission;
    private final HeadBudget headBudget;
    private final DescriptorLimits descriptors;
    private final StallDetector stallDetector;
    private final PollCounter pollCounter;

    /**
     * Connections that have been served and have no open request. The connection that has been idle
     * longest comes first.
     */
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

    /**
     * Connections that have never sent a complete request. The connection whose last input is
     * longest ago comes first.
     */
    private final Set<ClientConnection> newConnections = new LinkedHashSet<>();

    /** Connections that are being closed and whose clients may not have seen the close yet. */
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
     * @param budget limits the bytes of client input, including request bodies, that are buffered
     * @param bodyAdmission admits request bodies to memory
     * @param maxHeadBytes limit on the bytes of heads that have been received in part
     * @param descriptors counts the open connections, both those of clients and those to backends;
     *     if a new client connection exceeds the limit, one client connection is closed
     * @param stallDetector measures how long the event loop was stalled
     * @param pollCounter counts the polls of the event loop
     */
    public HttpFrontend(
            EventLoop loop,
            Clock clock,
            EventLog log,
            RequestParser parser,
            RequestHandler requests,
            BufferBudget budget,
            BodyAdmission bodyAdmission,
            long maxHeadBytes,
            DescriptorLimits descriptors,
            StallDetector stallDetector,
            PollCounter pollCounter) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.parser = parser;
        this.requests = requests;
        this.budget = budget;
        this.bodyAdmission = bodyAdmission;
        this.headBudget = new HeadBudget(maxHeadBytes);
        this.descriptors = descriptors;
        this.stallDetector = stallDetector;
        this.pollCounter = pollCounter;
    }

    /** Starts to listen, and returns the bound address once the socket is bound. */
    public InetSocketAddress listen(InetSocketAddress address)
            throws IOException, InterruptedException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channelFactory(() -> new ListeningChannel(this::loopTime))
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .handler(new AcceptRetry(log))
                        // While a process of a newer version takes over, both processes listen on
                        // this address.
                        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Relay.WATER_MARK)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                Relay.readSizes(MAX_READ_BYTES).maxMessagesPerRead(1))
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

    /**
     * Records the listener's channel, and closes it at once if {@link #stopListening} was called
     * before.
     */
    private void onListening(Channel channel) {
        listener = channel;
        if (listeningStopped) {
            listener.close();
        }
    }

    /**
     * Returns whether clients should send requests to this proxy. They should while it accepts
     * connections and knows the list of servers, until {@link #markUnready} is called.
     */
    public boolean ready() {
        return listener != null && listener.isActive() && !markedUnready && requests.ready();
    }

    /**
     * Makes {@link #ready} return false from now on, so that clients do not start to use this
     * proxy.
     */
    public void markUnready() {
        markedUnready = true;
    }

    /** From now on, closes each connection after its next response. */
    public void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /**
     * Sets whether a newer process is taking over from this one. While it is, some responses close
     * their connections, so that the clients move to the newer process a few at a time.
     */
    public void setHandover(boolean on) {
        handingOver = on;
    }

    /**
     * Counts a response and returns whether its connection may stay open. The connection must close
     * if this process shuts down or if file descriptors are scarce. During a handover to a newer
     * process, it must also close after one in {@link #RESPONSES_PER_HANDOVER_CLOSE} responses.
     */
    boolean keepAliveAfterResponse() {
        responseCount++;
        return !closingAfterResponses
                && !descriptors.scarce()
                && !(handingOver && responseCount % RESPONSES_PER_HANDOVER_CLOSE == 0);
    }

    /**
     * Stops accepting connections; open connections are still served. May be called before {@link
     * #listen}.
     */
    public void stopListening() {
        listeningStopped = true;
        if (listener != null) {
            listener.close();
        }
    }

    /**
     * Closes the connections that have no open request and have received no part of a new one.
     * Clients are prepared for such a close.
     */
    public void closeIdleConnections() {
        connectionsWithoutOpenRequest()
                .filter(connection -> !connection.requestStarted())
                .toList()
                .forEach(ClientConnection::closeGracefully);
    }

    /**
     * Returns whether any connection is still being closed. The client of such a connection may not
     * have seen the close yet. Closing a connection does not take long.
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
        return new ReadAhead(budget, MAX_READ_AHEAD_BYTES, this::loopTime);
    }

    private LoopTime loopTime() {
        long nowUs = clock.nowUs();
        return new LoopTime(nowUs, stallDetector.unreadUs(nowUs), pollCounter.polls());
    }

    ReadTimeout newReadTimeout(Runnable onTimeout) {
        return new ReadTimeout(loop, clock, onTimeout);
    }

    /**
     * Creates an empty body for the request with the given head. The body fills as it is received.
     */
    RequestBody newBody(HttpRequest head, Relay.Source source) {
        long declared =
                head.decoderResult().isSuccess() ? HttpUtil.getContentLength(head, -1L) : -1;
        return new RequestBody(loop, budget, declared, source);
    }

    BodyAdmission bodyAdmission() {
        return bodyAdmission;
    }

    HeadBudget headBudget() {
        return headBudget;
    }

    int clientConnections() {
        return descriptors.clientConnections();
    }

    void onConnected(ClientConnection connection) {
        descriptors.addClients(1);
        newConnections.add(connection);
        if (descriptors.limitExceeded()) {
            evictConnectionFor(connection);
        }
    }

    /**
     * Called when a connection has received bytes. If it has never sent a complete request, it
     * moves to the end of {@link #newConnections}, because the connection that has been silent
     * longest is closed first.
     */
    void onBytesReceived(ClientConnection connection) {
        if (newConnections.remove(connection)) {
            newConnections.add(connection);
        }
    }

    /**
     * Called when a connection counts neither as idle nor as new from now on, for example because
     * it has an open request.
     */
    void markBusy(ClientConnection connection) {
        idleConnections.remove(connection);
        newConnections.remove(connection);
    }

    /** Called when a connection no longer has an open request; from now on it counts as idle. */
    void markIdle(ClientConnection connection) {
        connection.idleSinceUs(clock.nowUs());
        idleConnections.add(connection);
    }

    /** Called when a connection is being closed, or when its client has been told of the close. */
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
     * Closes one connection, because the newcomer exceeds the limit. Connections that are already
     * being closed are chosen first. Next come those that have been idle for {@link #MIN_IDLE_US},
     * because their clients expect it. Then come those that may never send a request, and after
     * them those of clients that were served recently. If there is no other connection, the
     * newcomer is closed.
     */
    private void evictConnectionFor(ClientConnection newcomer) {
        evictedCount++;
        if (clock.nowUs() >= nextLogUs) {
            nextLogUs = clock.nowUs() + LOG_INTERVAL_US;
            log.write(
                    descriptors.clientConnections()
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
}
