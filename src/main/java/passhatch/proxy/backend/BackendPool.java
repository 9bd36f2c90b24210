package passhatch.proxy.backend;

import io.netty.bootstrap.Bootstrap;
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
 * A pool of HTTP/1.1 connections to the backends. A connection carries one request at a time, and
 * is kept for a later request. The pool never sends a request twice, even if it used an idle
 * connection that the backend had closed. Only the decision module, {@link passhatch.Balancer},
 * decides on retries.
 */
public final class BackendPool {

    /**
     * Maximum number of idle connections per backend; more idle connections would only fill the
     * backend's connection table.
     */
    private static final int MAX_IDLE_PER_BACKEND = 8;

    /**
     * The pool closes an idle connection after this fraction of the backends' idle timeout, so that
     * it does so before the backend may close the connection.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /**
     * A response of up to this many bytes is buffered until it is complete, unless too many bytes
     * are buffered for all connections together; a longer one is streamed.
     */
    private static final int MAX_BUFFERED_BYTES = 1 << 16;

    /**
     * Time in milliseconds, counted from the head of a response, after which an incomplete response
     * is streamed. This applies only to a response that may be longer than {@link
     * #MAX_BUFFERED_BYTES}. Until the response is streamed, the request can still be retried on
     * another backend, as is necessary if the response turns out to be truncated. Broken responses
     * often declare a wrong length.
     */
    private static final long MAX_BUFFERING_MS = 200;

    /**
     * Time in microseconds after which a streamed response is aborted if nothing of it arrives
     * although the proxy reads. The client then sees that the response is incomplete. Backends may
     * hang for up to 25 s in the middle of a response.
     */
    private static final long RESPONSE_IDLE_TIMEOUT_US = 30_000_000;

    /**
     * For this time, in microseconds, after a backend has sent unsolicited data, the connections to
     * all backends are reused only after a delay.
     */
    private static final long DISTRUST_PERIOD_US = 60_000_000;

    /**
     * The result of a request.
     *
     * @param body the body of a buffered 200 response, else null
     * @param report the backend's load report; null if the response has none
     */
    public record Result(Outcome outcome, byte[] body, LoadReport report) {
        public static Result withoutResponse(Outcome outcome) {
            return new Result(outcome, null, null);
        }
    }

    /** Receives the events of one request. */
    public interface Listener {
        /** Called when the request has been written completely. */
        default void onRequestWritten() {}

        /**
         * Called when the response starts to be streamed; from then on the request has no timeout.
         */
        default void onStreamStarted(ResponseStream response) {}

        /** Called exactly once, when the request has completed. */
        void onResult(Result result);
    }

    /** Controls a request that has been sent. */
    public interface Handle {
        /**
         * Closes the request's connection. The request completes as cancelled unless it has
         * completed already.
         */
        void cancel();

        /**
         * Restarts the request's timeout: it now expires {@code timeoutUs} microseconds from now.
         */
        void setTimeout(long timeoutUs);
    }

    /**
     * A request to send.
     *
     * @param message supplies the HTTP message, or only its head if there is a body; called when
     *     the message can be written
     * @param body the body that is streamed after the head; null if the message is complete without
     *     a body
     * @param stillWanted called just before the message is written; if it returns false, the
     *     request is not sent
     * @param timeoutUs timeout of the whole request, including the connection setup, in
     *     microseconds
     * @param timeoutOutcome the outcome if the timeout expires after the request was written
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
     * Until this time, in microseconds, a connection is reused only {@link #reuseDelayUs} after its
     * last response. Later there is no delay: while no backend sends unsolicited data, the delay
     * would only cost more connections.
     */
    private long distrustUntilUs = Long.MIN_VALUE;

    private final DescriptorLimits descriptors;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<Connection>> idleConnections = new HashMap<>();

    /**
     * Creates a pool without connections.
     *
     * @param budget limits the response bytes that are buffered or streamed
     * @param connectTimeoutUs timeout of the connection setup, in microseconds
     * @param keepaliveUs idle time after which backends close connections, in microseconds; 0 if no
     *     connection may be kept
     * @param reuseDelayUs time after a response, in microseconds, for which its connection is not
     *     reused while backends send unsolicited data. A second response to the same request may
     *     follow some milliseconds later and would be taken for the response to the next request
     * @param descriptors counts the open connections, both those to backends and those of clients
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

    /** Creates a pool whose channels come from the given factory. */
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
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                Relay.readSizes(Relay.MAX_READ_BYTES))
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int)
                                        Math.max(
                                                1,
                                                TimeUnit.MICROSECONDS.toMillis(connectTimeoutUs)));
    }

    /**
     * Closes the idle connections that backends might soon close themselves. Must be called
     * periodically.
     */
    public void closeStaleConnections() {
        long staleBeforeUs = clock.nowUs() - idleTimeoutUs;
        for (Deque<Connection> connections : idleConnections.values()) {
            while (!connections.isEmpty() && connections.peekLast().idleSinceUs <= staleBeforeUs) {
                connections.pollLast().channel.close();
            }
        }
        idleConnections.values().removeIf(Deque::isEmpty);
    }

    /** Closes all idle connections to a backend. */
    public void closeIdleConnections(InetSocketAddress address) {
        Deque<Connection> connections = idleConnections.remove(address);
        if (connections != null) {
            connections.forEach(connection -> connection.channel.close());
        }
    }

    /** Returns the number of idle connections to all backends. */
    public int idleConnectionCount() {
        return idleConnections.values().stream().mapToInt(Deque::size).sum();
    }

    /** Sends a request to a backend, on an idle connection if there is one. */
    public Handle send(InetSocketAddress address, RequestSpec spec, Listener listener) {
        OutgoingRequest request = new OutgoingRequest(spec, listener);
        Connection pooled = takeIdleConnection(address);
        if (pooled == null && descriptors.backendsFull()) {
            closeLongestIdleConnection();
        }
        if (pooled == null && descriptors.backendsFull()) {
            log.write(
                    "no connection available for "
                            + address
                            + ": "
                            + descriptors.backendConnections()
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

    private Connection takeIdleConnection(InetSocketAddress address) {
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
        log.write(what + " from " + backend + "; connections are reused with a delay for now");
    }

    /**
     * Closes the connection that has been idle longest, to make room for a connection to another
     * backend.
     */
    private void closeLongestIdleConnection() {
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
            loop.execute(() -> completeAsNotSent(request, address, connecting.cause()));
            return;
        }
        connection.channel = channel;
        request.connection = connection;
        descriptors.addBackends(1);
        // The result of the connect is handled in a later iteration of the event loop, even if the
        // connect fails at once.
        connecting.addListener(
                connected ->
                        loop.execute(
                                () -> {
                                    if (connected.isSuccess()) {
                                        connection.write(request);
                                    } else if (LocalFailure.isLocal(connected.cause())) {
                                        completeAsNotSent(request, address, connected.cause());
                                    } else {
                                        connection.onConnectionLost();
                                    }
                                }));
        connection.channel.closeFuture().addListener(closed -> descriptors.addBackends(-1));
    }

    /**
     * Completes a request as not sent. The cause is a local failure, so the backend is not to
     * blame.
     */
    private void completeAsNotSent(
            OutgoingRequest request, InetSocketAddress address, Throwable cause) {
        if (!request.completed) {
            log.write("local failure while connecting to " + address + ": " + cause);
            request.complete(Result.withoutResponse(Outcome.NOT_SENT));
        }
    }

    /**
     * A request that the pool sends, from the call of {@link BackendPool#send} until its single
     * result has been reported.
     */
    private final class OutgoingRequest implements Handle {
        final RequestSpec spec;
        private final Listener listener;
        Connection connection;
        Future<?> timeoutTimer;

        /**
         * Whether the complete message has been passed to the operating system. Once it has, the
         * backend may run the request.
         */
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

        /** Called when the complete message has been passed to the operating system. */
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
            // A request that was not written completely cannot run: it counts as if its connection
            // had not been established in time.
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

    /** A connection to a backend, and the request that it carries at present. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress address;
        final ResponseDecoder decoder = new ResponseDecoder();
        BackendChannel channel;
        OutgoingRequest request;
        long idleSinceUs;
        long reusableFromUs;

        /**
         * The response to the current request; null until its head has arrived, and again after the
         * response has completed.
         */
        private IncomingResponse response;

        /** True while the input belongs to an interim (1xx) response. */
        private boolean interim;

        Connection(InetSocketAddress address) {
            this.address = address;
        }

        /**
         * Writes the message of a request, unless the request has completed, the connection has
         * been lost or the request is no longer wanted.
         */
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

        /**
         * Called when the request's timeout expires. Starts to stream the response if its head has
         * arrived and declares a length that exceeds the buffer. Returns whether the response is
         * streamed from now on.
         */
        boolean streamIfLong() {
            return response != null && response.streamIfLong();
        }

        /** Closes the connection without completing the request that it carries. */
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

        /**
         * Completes the request after the connection has been lost. A request that was not written
         * completely cannot have run, so it completes as if the connection had not been
         * established.
         */
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
                onUnsolicitedData(address, "unsolicited response");
                ctx.close();
            } else if (response == null) {
                response = new IncomingResponse(this, request, head);
            } else {
                response.onExtraResponse(head);
            }
        }

        /**
         * Completes the response and reuses its connection only when all received input has been
         * read. Bytes after the end of the response would otherwise be taken for the response to
         * the next request.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean unsolicited = decoder.hasUnsolicitedBytes();
            OutgoingRequest currentRequest = request;
            IncomingResponse currentResponse = response;
            if (currentRequest == null && unsolicited) {
                onUnsolicitedData(address, "unsolicited bytes");
                ctx.close();
            } else if (currentRequest != null
                    && currentResponse != null
                    && currentResponse.isFinished()) {
                if (unsolicited || !currentResponse.onlyResponse) {
                    onUnsolicitedData(address, "unsolicited data after a response");
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
            } else if (currentResponse != null) {
                currentResponse.onReadComplete();
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
         * Closes the connection once the backend has closed its side. The backend's response was
         * read before this event, and nothing more can arrive.
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
            log.write("connection to " + address + ": " + cause);
            ctx.close();
        }
    }

    /**
     * Is notified when a request's body has been streamed to the backend, or when that has failed.
     */
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

    /** A response that is being received. */
    private final class IncomingResponse implements ResponseStream {
        private final Connection connection;
        private final OutgoingRequest request;
        private final HttpResponse head;
        private final long declaredLength;
        private final BufferedBytes buffered;
        private final Future<?> bufferingTimer;
        private Future<?> idleTimer;

        /** When content last arrived, or could not arrive because reading was paused. */
        private long lastContentUs = clock.nowUs();

        private Relay relay;
        private long receivedBytes;
        private boolean streaming;
        private boolean fullyReceived;
        private boolean malformed;

        /** True until a second response to the same request arrives. */
        private boolean onlyResponse = true;

        IncomingResponse(Connection connection, OutgoingRequest request, HttpResponse head) {
            this.connection = connection;
            this.request = request;
            this.head = head;
            this.declaredLength = HttpUtil.getContentLength(head, -1L);
            this.buffered = new BufferedBytes(budget, declaredLength);
            this.malformed =
                    head.decoderResult().isFailure()
                            || connection.decoder.malformed()
                            || declaredLength > RequestBody.MAX_BYTES;
            boolean mayBeLong = declaredLength < 0 || declaredLength > MAX_BUFFERED_BYTES;
            this.bufferingTimer =
                    mayBeLong && head.status().equals(HttpResponseStatus.OK)
                            ? loop.schedule(
                                    this::startStreaming, MAX_BUFFERING_MS, TimeUnit.MILLISECONDS)
                            : null;
        }

        /**
         * Called when a second response to the same request arrives. The second response is
         * dropped, and the connection is not reused. A second response that is not valid HTTP may
         * be the rest of a first body that was longer than declared, so the first response then
         * counts as malformed.
         */
        void onExtraResponse(HttpResponse extra) {
            onlyResponse = false;
            malformed |= extra.decoderResult().isFailure();
        }

        void onContent(HttpContent content) {
            lastContentUs = clock.nowUs();
            receivedBytes += content.content().readableBytes();
            malformed |=
                    content.decoderResult().isFailure() || receivedBytes > RequestBody.MAX_BYTES;
            if (!onlyResponse || malformed) {
                return;
            }
            if (relay != null) {
                relay.forward(content.content().retain());
            } else if (hasUsefulBody()) {
                buffered.add(content.content());
            }
            fullyReceived |= content instanceof LastHttpContent;
            if (!fullyReceived && receivedBytes > MAX_BUFFERED_BYTES) {
                startStreaming();
            }
        }

        /** Returns whether the body is passed to the client. */
        private boolean hasUsefulBody() {
            return head.status().equals(HttpResponseStatus.OK);
        }

        /**
         * Called when everything that has arrived was read. While too many bytes are buffered for
         * all connections together, no response is kept until it is complete: it is streamed.
         */
        void onReadComplete() {
            if (buffered.size() > 0 && budget.exceeded()) {
                startStreaming();
            }
        }

        /**
         * Starts to stream a 200 response. The body of any other response is not needed, so the
         * request is completed without it and the connection is closed.
         */
        private void startStreaming() {
            if (streaming || fullyReceived || malformed || connection.response != this) {
                return;
            }
            if (hasUsefulBody()) {
                streaming = true;
                connection.channel.config().setAutoRead(false);
                request.cancelTimeout();
                scheduleIdleCheck(RESPONSE_IDLE_TIMEOUT_US);
                request.listener.onStreamStarted(this);
            } else {
                connection.close();
                request.complete(toResult(head, null));
            }
        }

        /**
         * Called when the request's timeout expires. Starts to stream the response if its declared
         * length exceeds the buffer: the timeout limits the time until the first bytes of such a
         * response, not until its last. Returns whether the response is streamed from now on.
         */
        boolean streamIfLong() {
            if (declaredLength > MAX_BUFFERED_BYTES) {
                startStreaming();
            }
            return streaming;
        }

        private void scheduleIdleCheck(long delayUs) {
            idleTimer = loop.schedule(this::abortIfIdle, delayUs, TimeUnit.MICROSECONDS);
        }

        /** Aborts the response if nothing has arrived for too long, or checks again later. */
        private void abortIfIdle() {
            if (!connection.channel.config().isAutoRead()) {
                lastContentUs = clock.nowUs();
            }
            long leftUs = lastContentUs + RESPONSE_IDLE_TIMEOUT_US - clock.nowUs();
            if (leftUs > 0) {
                scheduleIdleCheck(leftUs);
            } else {
                log.write("response from " + connection.address + " aborted: no more data arrives");
                connection.channel.close();
            }
        }

        @Override
        public long length() {
            return declaredLength;
        }

        @Override
        public void sendTo(Channel client, Relay.Listener listener) {
            // Once the response is complete, its connection may carry another request, so this
            // response must no longer pause the reading.
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
            relay.start(buffered.takeView());
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

        /**
         * Completes the request. Called after all input that arrived with the end of the response
         * has been read.
         *
         * @param unsolicited whether bytes follow the end of the response; the response counts as
         *     broken in this case unless it is streamed
         */
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

        /** Drops a response that will not be completed. */
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
        LoadReport report =
                LoadReportParser.parse(response.headers().get(ResponseDecoder.LOAD_HEADER));
        if (status.equals(HttpResponseStatus.OK)) {
            return new Result(Outcome.OK, body, report);
        }
        // Without the header X-Not-Run, a 503 or 504 may come from a later tier, after the backend
        // ran the request.
        boolean rejected =
                (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                                || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                        && "1".equals(response.headers().get(ResponseDecoder.NOT_RUN_HEADER));
        return new Result(rejected ? Outcome.FULL : Outcome.ERROR, null, report);
    }
}
