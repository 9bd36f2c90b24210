package passhatch.proxy.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.DescriptorLimits;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.LocalFailure;
import passhatch.proxy.flow.BufferBudget;
import passhatch.proxy.flow.BufferedBytes;
import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.RequestBody;
import passhatch.proxy.flow.ResponseStream;

/**
 * The connections to the backends. A connection carries one request at a time and is kept for the
 * next. Nothing is ever sent a second time from here, not on a stale connection either: whether to
 * repeat is the module's to decide.
 */
public final class BackendPool {

    /** Idle connections kept to one backend: more only fill its table. */
    private static final int MAX_IDLE_PER_BACKEND = 8;

    /**
     * Part of the backends' idle time after which a connection is closed, before they may close it.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /** An answer of up to this size is held until it is whole; a longer one goes on as it comes. */
    private static final int MAX_BUFFERED_BYTES = 1 << 16;

    /**
     * So does one that may become longer and is not whole by then. Until then it may still break
     * and be asked for elsewhere, as spoilt answers often tell a length that is not theirs.
     */
    private static final long MAX_BUFFERING_MS = 200;

    /**
     * An answer that goes on as it comes, and of which nothing has come for so long though it was
     * read from, never ends: it is broken off, so that its client sees it. Slow peers pause for a
     * second or two.
     */
    private static final long RESPONSE_IDLE_TIMEOUT_MS = 5_000;

    /** Backends that sent what nothing asked for are taken to do so again for this long. */
    private static final long DISTRUST_PERIOD_US = 60_000_000;

    /**
     * How a call ended.
     *
     * @param body of a 200 answer that was held, else null
     */
    public record Result(Outcome outcome, byte[] body, LoadReport report) {
        public static Result withoutResponse(Outcome outcome) {
            return new Result(outcome, null, null);
        }
    }

    /** Hears of a call. */
    public interface Listener {
        /** The message was written whole. */
        default void onRequestWritten() {}

        /** An answer begins that goes on as it comes; from now on the time-out is off. */
        default void onStreamStarted(ResponseStream response) {}

        /** It has ended, once. */
        void onResult(Result result);
    }

    /** A call that may be given up. */
    public interface Handle {
        /** Closes its connection; it ends as cancelled unless it has ended already. */
        void cancel();

        /** Gives it this long from now on. */
        void setTimeout(long timeoutUs);
    }

    /**
     * What to send.
     *
     * @param message makes the message, or the head of one, when it can be written
     * @param body goes out after the head as it comes; null where the message is whole
     * @param stillWanted asked just before it is written: false where it must not be sent any more
     * @param timeoutOutcome how it ends when its time is up after it was written
     */
    public record RequestSpec(
            Supplier<HttpRequest> message,
            RequestBody body,
            BooleanSupplier stillWanted,
            long timeoutUs,
            Outcome timeoutOutcome) {}

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final BufferBudget budget;
    private final long idleTimeoutUs;
    private final long reuseDelayUs;

    /**
     * Until then connections rest: it would cost more of them where no backend does such a thing.
     */
    private long distrustUntilUs = Long.MIN_VALUE;

    private final DescriptorLimits descriptors;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<Connection>> idleConnections = new HashMap<>();

    /**
     * A pool without connections.
     *
     * @param budget of the bytes that it passes on
     * @param keepaliveUs after which backends close idle connections; 0 where none may be kept
     * @param reuseDelayUs how long a connection rests after an answer before it is used again while
     *     backends send what nothing asked for, in microseconds: a second answer to the same
     *     request may follow some milliseconds later, and would pass for the answer to the next
     * @param descriptors shared with the callers' side
     */
    public BackendPool(
            EventLoop loop,
            Clock clock,
            EventLog log,
            BufferBudget budget,
            long connectTimeoutUs,
            long keepaliveUs,
            long reuseDelayUs,
            DescriptorLimits descriptors) {
        this(
                loop,
                clock,
                log,
                budget,
                connectTimeoutUs,
                keepaliveUs,
                reuseDelayUs,
                descriptors,
                BackendChannel::new);
    }

    /** With sockets made in another way. */
    BackendPool(
            EventLoop loop,
            Clock clock,
            EventLog log,
            BufferBudget budget,
            long connectTimeoutUs,
            long keepaliveUs,
            long reuseDelayUs,
            DescriptorLimits descriptors,
            ChannelFactory<BackendChannel> channelFactory) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.budget = budget;
        this.idleTimeoutUs = (long) (keepaliveUs * IDLE_TIMEOUT_FRACTION);
        this.reuseDelayUs = reuseDelayUs;
        this.descriptors = descriptors;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(channelFactory)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Relay.WATER_MARK)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, Relay.READ_SIZES)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int)
                                        Math.max(
                                                1,
                                                TimeUnit.MICROSECONDS.toMillis(connectTimeoutUs)));
    }

    /** Closes connections that backends might soon close themselves; to be called now and then. */
    public void closeStale() {
        long staleBeforeUs = clock.nowUs() - idleTimeoutUs;
        for (Deque<Connection> connections : idleConnections.values()) {
            while (!connections.isEmpty() && connections.peekLast().idleSinceUs <= staleBeforeUs) {
                connections.pollLast().channel.close();
            }
        }
        idleConnections.values().removeIf(Deque::isEmpty);
    }

    /** Closes the idle connections to a backend. */
    public void closeIdle(InetSocketAddress address) {
        Deque<Connection> connections = idleConnections.remove(address);
        if (connections != null) {
            connections.forEach(connection -> connection.channel.close());
        }
    }

    /** How many connections are kept for later. */
    public int idleCount() {
        return idleConnections.values().stream().mapToInt(Deque::size).sum();
    }

    /** Sends a message to a backend, on a kept connection if there is one. */
    public Handle send(InetSocketAddress address, RequestSpec spec, Listener listener) {
        OutgoingRequest request = new OutgoingRequest(spec, listener);
        Connection pooled = takeIdle(address);
        if (pooled == null && descriptors.backendsFull()) {
            closeLongestIdle();
        }
        if (pooled == null && descriptors.backendsFull()) {
            log.line(
                    "no connection left for "
                            + address
                            + ": "
                            + descriptors.backends()
                            + " are open");
            loop.execute(() -> request.complete(Result.withoutResponse(Outcome.NOT_SENT)));
            return request;
        }
        request.setTimeout(spec.timeoutUs());
        if (pooled != null) {
            pooled.request = request;
            request.connection = pooled;
            pooled.write(request);
        } else {
            connect(address, request);
        }
        return request;
    }

    private Connection takeIdle(InetSocketAddress address) {
        long nowUs = clock.nowUs();
        Deque<Connection> connections = idleConnections.get(address);
        if (connections == null) {
            return null;
        }
        for (Iterator<Connection> iterator = connections.iterator(); iterator.hasNext(); ) {
            Connection connection = iterator.next();
            if (connection.reusableFromUs <= nowUs || distrustUntilUs <= nowUs) {
                iterator.remove();
                if (connection.channel.isActive()
                        && connection.idleSinceUs > nowUs - idleTimeoutUs
                        && connection.channel.hasNoInput()) {
                    return connection;
                }
                connection.channel.close();
            }
        }
        return null;
    }

    private void onUnsolicitedData(InetSocketAddress backend, String what) {
        distrustUntilUs = clock.nowUs() + DISTRUST_PERIOD_US;
        log.line(what + " from " + backend + " that nothing asked for");
    }

    /** Makes room for one to another backend. */
    private void closeLongestIdle() {
        idleConnections.values().stream()
                .filter(connections -> !connections.isEmpty())
                .map(Deque::peekLast)
                .min(Comparator.comparingLong(connection -> connection.idleSinceUs))
                .ifPresent(connection -> connection.channel.close());
    }

    private void connect(InetSocketAddress address, OutgoingRequest request) {
        Connection connection = new Connection(address);
        connection.request = request;
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        connection.decoder,
                                                        new HttpRequestEncoder(),
                                                        connection);
                                    }
                                })
                        .connect(address);
        if (!(connecting.channel() instanceof BackendChannel channel)) {
            loop.execute(() -> completeNotSent(request, address, connecting.cause()));
            return;
        }
        connection.channel = channel;
        request.connection = connection;
        descriptors.addBackends(1);
        // Runs in a later step of the loop even where the connection fails at once.
        connecting.addListener(
                connected ->
                        loop.execute(
                                () -> {
                                    if (connected.isSuccess()) {
                                        connection.write(request);
                                    } else if (LocalFailure.isLocal(connected.cause())) {
                                        completeNotSent(request, address, connected.cause());
                                    } else {
                                        connection.onConnectionLost();
                                    }
                                }));
        connection.channel.closeFuture().addListener(closed -> descriptors.addBackends(-1));
    }

    /** Nothing of this is the backend's doing. */
    private void completeNotSent(
            OutgoingRequest request, InetSocketAddress address, Throwable cause) {
        if (!request.completed) {
            log.line("no connection could be made here to " + address + ": " + cause);
            request.complete(Result.withoutResponse(Outcome.NOT_SENT));
        }
    }

    /** One call, from its start to its only result. */
    private final class OutgoingRequest implements Handle {
        final RequestSpec spec;
        private final Listener listener;
        Connection connection;
        Future<?> timeoutTimer;

        /** All of the message has been handed to the network: from now on it may run. */
        boolean written;

        boolean completed;

        OutgoingRequest(RequestSpec spec, Listener listener) {
            this.spec = spec;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            abort(Outcome.CANCELLED);
        }

        @Override
        public void setTimeout(long timeoutUs) {
            cancelTimeout();
            if (!completed) {
                timeoutTimer =
                        loop.schedule(
                                this::onTimeout, Math.max(0, timeoutUs), TimeUnit.MICROSECONDS);
            }
        }

        void cancelTimeout() {
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
                timeoutTimer = null;
            }
        }

        /** All of the message has been handed to the network. */
        void onWritten() {
            if (!completed) {
                written = true;
                listener.onRequestWritten();
            }
        }

        private void onTimeout() {
            if (connection != null && connection.streamIfLong()) {
                return;
            }
            // What was never written whole cannot run: the connection did not come up in time.
            abort(written ? spec.timeoutOutcome() : Outcome.CONNECT_FAILED);
        }

        void abort(Outcome outcome) {
            if (!completed) {
                if (connection != null) {
                    connection.close();
                }
                complete(Result.withoutResponse(outcome));
            }
        }

        void complete(Result result) {
            if (!completed) {
                completed = true;
                cancelTimeout();
                if (spec.body() != null && !written) {
                    spec.body().stopSending();
                }
                listener.onResult(result);
            }
        }
    }

    /** A connection, and the call that it carries now. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress address;
        final ResponseDecoder decoder = new ResponseDecoder();
        BackendChannel channel;
        OutgoingRequest request;
        long idleSinceUs;
        long reusableFromUs;

        /** The answer to the call, until all that came with it has been read. */
        private IncomingResponse response;

        /** What comes now belongs to an interim answer. */
        private boolean interim;

        Connection(InetSocketAddress address) {
            this.address = address;
        }

        /** Writes the message, unless the call has been given up or must not go out any more. */
        void write(OutgoingRequest toWrite) {
            if (toWrite.completed) {
                channel.close();
            } else if (!channel.isActive()) {
                onConnectionLost();
            } else if (!toWrite.spec.stillWanted().getAsBoolean()) {
                request = null;
                returnToPool(0);
                toWrite.complete(Result.withoutResponse(Outcome.NOT_SENT));
            } else {
                decoder.expectResponse();
                RequestBody body = toWrite.spec.body();
                channel.writeAndFlush(toWrite.spec.message().get())
                        .addListener(
                                written -> {
                                    if (!written.isSuccess()) {
                                        channel.close();
                                    } else if (body == null) {
                                        toWrite.onWritten();
                                    }
                                });
                if (body != null) {
                    body.sendTo(channel, new BodyListener(toWrite));
                }
            }
        }

        /** A long answer whose start is here in time is passed on now, and its rest as it comes. */
        boolean streamIfLong() {
            return response != null && response.streamIfLong();
        }

        /** The connection is given up, whatever it carries. */
        void close() {
            request = null;
            dropResponse();
            channel.close();
        }

        private void dropResponse() {
            IncomingResponse dropped = response;
            response = null;
            if (dropped != null) {
                dropped.drop();
            }
        }

        /** The connection is gone: before the last byte was written the request cannot have run. */
        void onConnectionLost() {
            OutgoingRequest lost = request;
            request = null;
            dropResponse();
            if (lost != null) {
                lost.complete(
                        Result.withoutResponse(
                                lost.written ? Outcome.RESET : Outcome.CONNECT_FAILED));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part instanceof HttpResponse head) {
                onResponseHead(ctx, head);
            }
            if (part instanceof HttpContent content) {
                if (interim) {
                    interim = !(content instanceof LastHttpContent);
                } else if (response != null) {
                    response.onContent(content);
                }
            }
        }

        private void onResponseHead(ChannelHandlerContext ctx, HttpResponse head) {
            interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (interim) {
                return;
            }
            if (request == null) {
                onUnsolicitedData(address, "an answer");
                ctx.close();
            } else if (response == null) {
                response = new IncomingResponse(this, request, head);
            } else {
                response.onExtraResponse(head);
            }
        }

        /**
         * The answer counts, and its connection may serve again, only when all that has arrived is
         * read: what came after its end would pass for the answer to the next request.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean unsolicited = decoder.hasUnsolicitedBytes();
            OutgoingRequest currentRequest = request;
            IncomingResponse currentResponse = response;
            if (currentRequest == null && unsolicited) {
                onUnsolicitedData(address, "bytes");
                ctx.close();
            } else if (currentRequest != null
                    && currentResponse != null
                    && currentResponse.isFinished()) {
                if (unsolicited || !currentResponse.onlyResponse) {
                    onUnsolicitedData(address, "more than an answer");
                }
                boolean reusable =
                        currentResponse.keepAlive()
                                && currentRequest.written
                                && !unsolicited
                                && !decoder.peerHalfClosed();
                request = null;
                response = null;
                if (reusable) {
                    returnToPool(reuseDelayUs);
                } else {
                    ctx.close();
                }
                currentResponse.finish(unsolicited);
            }
            ctx.fireChannelReadComplete();
        }

        private void returnToPool(long delayUs) {
            channel.config().setAutoRead(true);
            idleSinceUs = clock.nowUs();
            reusableFromUs = idleSinceUs + delayUs;
            Deque<Connection> connections =
                    idleConnections.computeIfAbsent(address, a -> new ArrayDeque<>());
            connections.addFirst(this);
            if (connections.size() > MAX_IDLE_PER_BACKEND || idleTimeoutUs <= 0) {
                connections.pollLast().channel.close();
            }
        }

        /**
         * The peer has ended its sending: what it answered was read before this, and nothing more
         * comes.
         */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Deque<Connection> connections = idleConnections.get(address);
            if (connections != null) {
                connections.remove(this);
            }
            onConnectionLost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.line("connection to " + address + ": " + cause);
            ctx.close();
        }
    }

    /** Hears how the body of a request went out. */
    private record BodyListener(OutgoingRequest request) implements Relay.Listener {
        @Override
        public void completed() {
            request.onWritten();
        }

        @Override
        public void failed() {
            request.connection.channel.close();
        }
    }

    /** An answer while it comes in. */
    private final class IncomingResponse implements ResponseStream {
        private final Connection connection;
        private final OutgoingRequest request;
        private final HttpResponse head;
        private final long length;
        private final BufferedBytes buffered = new BufferedBytes(budget);
        private final Future<?> bufferingTimer;
        private Future<?> idleTimer;

        /** It is read from, and something has come since the last look. */
        private boolean receivedSinceCheck;

        private Relay relay;
        private long size;
        private boolean streaming;
        private boolean fullyReceived;
        private boolean malformed;
        private boolean onlyResponse = true;

        IncomingResponse(Connection connection, OutgoingRequest request, HttpResponse head) {
            this.connection = connection;
            this.request = request;
            this.head = head;
            this.length = HttpUtil.getContentLength(head, -1L);
            this.malformed =
                    head.decoderResult().isFailure()
                            || connection.decoder.malformed()
                            || length > RequestBody.MAX_BYTES;
            boolean mayBeLong = length < 0 || length > MAX_BUFFERED_BYTES;
            this.bufferingTimer =
                    mayBeLong && head.status().equals(HttpResponseStatus.OK)
                            ? loop.schedule(
                                    this::startStreaming, MAX_BUFFERING_MS, TimeUnit.MILLISECONDS)
                            : null;
        }

        /**
         * A second answer to one request is dropped with its connection; one that is no HTTP may be
         * what is left of a body that was longer than its head said.
         */
        void onExtraResponse(HttpResponse extra) {
            onlyResponse = false;
            malformed |= extra.decoderResult().isFailure();
        }

        void onContent(HttpContent content) {
            receivedSinceCheck = true;
            size += content.content().readableBytes();
            malformed |= content.decoderResult().isFailure() || size > RequestBody.MAX_BYTES;
            if (!onlyResponse || malformed) {
                return;
            }
            if (relay != null) {
                relay.forward(content.content().retain());
            } else {
                buffered.add(content.content());
            }
            fullyReceived |= content instanceof LastHttpContent;
            if (!fullyReceived && buffered.size() > MAX_BUFFERED_BYTES) {
                startStreaming();
            }
        }

        /** From now on it goes on as it comes; where it is no 200, nobody wants the rest. */
        private void startStreaming() {
            if (streaming || fullyReceived || malformed || connection.response != this) {
                return;
            }
            if (head.status().equals(HttpResponseStatus.OK)) {
                streaming = true;
                connection.channel.config().setAutoRead(false);
                request.cancelTimeout();
                scheduleIdleCheck();
                request.listener.onStreamStarted(this);
            } else {
                connection.close();
                request.complete(toResult(head, null));
            }
        }

        /**
         * Has it go on now if it is known to be long: of such the first bytes are timed, not the
         * last.
         */
        boolean streamIfLong() {
            if (length > MAX_BUFFERED_BYTES) {
                startStreaming();
            }
            return streaming;
        }

        /** Of one that is not read from, as its client is slow, nothing can come. */
        private void scheduleIdleCheck() {
            idleTimer =
                    loop.schedule(
                            () -> {
                                if (receivedSinceCheck
                                        || !connection.channel.config().isAutoRead()) {
                                    receivedSinceCheck = false;
                                    scheduleIdleCheck();
                                } else {
                                    log.line(
                                            "an answer from "
                                                    + connection.address
                                                    + " does not end");
                                    connection.channel.close();
                                }
                            },
                            RESPONSE_IDLE_TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public long length() {
            return length;
        }

        @Override
        public void sendTo(Channel client, Relay.Listener listener) {
            // Once it is whole its connection may serve another call.
            relay =
                    new Relay(
                            loop,
                            budget,
                            on -> {
                                if (!fullyReceived) {
                                    connection.channel.config().setAutoRead(on);
                                }
                            },
                            client,
                            listener);
            relay.forward(Unpooled.wrappedBuffer(buffered.take()));
            if (fullyReceived && relay != null) {
                relay.finish();
            }
        }

        boolean isFinished() {
            return fullyReceived || malformed;
        }

        boolean keepAlive() {
            return fullyReceived && onlyResponse && !malformed && HttpUtil.isKeepAlive(head);
        }

        /** All that came with it has been read. */
        void finish(boolean unsolicited) {
            cancelTimers();
            byte[] body = streaming ? null : buffered.take();
            if (malformed || unsolicited && !streaming) {
                drop();
                request.complete(Result.withoutResponse(Outcome.RESET));
                return;
            }
            request.complete(toResult(head, body));
            if (relay != null) {
                relay.finish();
            }
        }

        /** It will not be whole. */
        void drop() {
            cancelTimers();
            buffered.drop();
            if (relay != null) {
                relay.stop();
                relay = null;
            }
        }

        private void cancelTimers() {
            if (bufferingTimer != null) {
                bufferingTimer.cancel(false);
            }
            if (idleTimer != null) {
                idleTimer.cancel(false);
            }
        }
    }

    private static Result toResult(HttpResponse response, byte[] body) {
        HttpResponseStatus status = response.status();
        LoadReport report = LoadReportParser.parse(response.headers().get("X-Load"));
        if (status.equals(HttpResponseStatus.OK)) {
            return new Result(Outcome.OK, body, report);
        }
        // Without the header a 503 or 504 may come from a tier behind, after the request ran.
        boolean rejected =
                (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                                || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                        && "1".equals(response.headers().get("X-Not-Run"));
        return new Result(rejected ? Outcome.FULL : Outcome.ERROR, null, report);
    }
}
