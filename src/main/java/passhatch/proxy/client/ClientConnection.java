package passhatch.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.base.LingeringClose;
import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.RequestBody;

/** One client's connection. Responses are written in the order of the requests. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * Maximum number of unanswered requests and unwritten responses on one connection. Further
     * requests on it are not processed until there are fewer.
     */
    private static final int MAX_PIPELINED = 4;

    /**
     * Maximum time in microseconds for which a request waits until its body is admitted to memory.
     * Meanwhile the client is not read, so its disconnect is not seen, and no attempt may begin
     * later than 0.1 s after a disconnect.
     */
    private static final long MAX_ADMISSION_WAIT_US = 80_000;

    /** The wait for admission is at most the time that the client allows, divided by this. */
    private static final long ADMISSION_WAIT_DIVISOR = 8;

    /** Time in milliseconds within which a client has to read a response that was sent to it. */
    private static final long MAX_WRITE_MS = 30_000;

    private final HttpFrontend frontend;
    private final SocketChannel channel;
    private final EventLoop loop;
    private final ReadAhead readAhead;
    private final ReadTimeout readTimeout;
    private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>();

    /**
     * The request that is being received, from its head to the end of its body; null between two
     * requests.
     */
    private PendingRequest incoming;

    /** True while a request has been received in part, but not completely. */
    private boolean requestStarted;

    /** The number of responses that wait in this process until the client reads earlier ones. */
    private int unwrittenResponses;

    /** Bytes of the head that is being received, while there is one. */
    private int headBytes;

    private long idleSinceUs;

    /**
     * True from the moment at which an invalid request arrives or the proxy begins to close the
     * connection. Further input is then ignored.
     */
    private boolean closing;

    /**
     * Whether a response has announced that the connection closes. Requests that arrive after that
     * are not processed.
     */
    private boolean closeAnnounced;

    /**
     * Whether the connection is to be closed once the body of the current request has been
     * received. The request has then been answered already, so its body is no longer needed.
     */
    private boolean closeAfterBody;

    ClientConnection(HttpFrontend frontend, SocketChannel channel, EventLoop loop) {
        this.frontend = frontend;
        this.channel = channel;
        this.loop = loop;
        this.readAhead = frontend.newReadAhead();
        this.readTimeout = frontend.newReadTimeout(this::onReadTimeout);
    }

    /**
     * Returns the handler that buffers input. In the channel's pipeline, it stands before the
     * decoder.
     */
    ChannelInboundHandlerAdapter readAhead() {
        return readAhead;
    }

    /** Returns whether a request has been received in part or has not been processed yet. */
    boolean requestStarted() {
        return requestStarted || readAhead.hasInput();
    }

    /** Sets the time at which the last open request was answered, in microseconds. */
    void idleSinceUs(long us) {
        idleSinceUs = us;
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Closes the connection at once; unsent responses are lost. */
    void close() {
        channel.close();
    }

    /**
     * Closes the connection in such a way that the last response reaches even a client that is
     * still sending. Further input is ignored.
     */
    void closeGracefully() {
        closing = true;
        readTimeout.cancel();
        frontend.closing(this);
        LingeringClose.begin(channel);
    }

    private void onReadTimeout() {
        if (incoming != null && incoming.request != null) {
            frontend.log()
                    .write(
                            "request "
                                    + incoming.request.id()
                                    + " closed: its body stopped after "
                                    + incoming.request.body().size()
                                    + " bytes");
        }
        channel.close();
    }

    // ---- called by the pending requests

    RequestHandler requests() {
        return frontend.requests();
    }

    ClientPresence clientPresence() {
        return readAhead.clientPresence();
    }

    void traceAbandoned(String id) {
        frontend.log().trace("abandoned", id, channel.id());
    }

    // ---- input

    /** Observes the input before it is decoded into requests. */
    final class ReadObserver extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (incoming == null && pendingRequests.isEmpty()) {
                requestStarted = true;
                readTimeout.start();
            }
            frontend.onBytesReceived(ClientConnection.this);
            setHeadBytes(incoming == null ? headBytes + ((ByteBuf) bytes).readableBytes() : 0);
            ctx.fireChannelRead(bytes);
            rejectLargeHead();
        }
    }

    private void setHeadBytes(int bytes) {
        frontend.headBudget().add(bytes - headBytes);
        headBytes = bytes;
    }

    /**
     * Rejects a head that takes more than this connection's share of memory. Earlier requests on
     * the connection get their responses first.
     */
    private void rejectLargeHead() {
        if (closing || incoming != null || !pendingRequests.isEmpty()) {
            return;
        }
        if (frontend.headBudget().exceededBy(headBytes, frontend.clientConnections())) {
            PendingRequest head = new PendingRequest(this, HttpVersion.HTTP_1_1, false);
            pendingRequests.add(head);
            reject(
                    head,
                    new RequestParser.BadRequestException(
                            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                            "heads take too much memory"));
        }
    }

    private void setBodyReading(boolean on) {
        readTimeout.setBodyPaused(!on);
        updateReading();
    }

    private void updateReading() {
        readAhead.setReceivingBody(incoming != null);
        readAhead.setInputWanted(
                pendingRequests.size() + unwrittenResponses < MAX_PIPELINED
                        && !readTimeout.bodyPaused());
    }

    // ---- requests

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        readTimeout.start();
        frontend.onConnected(this);
        frontend.log().trace("accepted", "-", channel);
        ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (closing) {
            return;
        }
        if (part instanceof HttpRequest head && !closeAnnounced) {
            begin(head);
        }
        if (part instanceof HttpContent content && incoming != null) {
            onBodyContent(incoming, content);
        }
    }

    private void begin(HttpRequest head) {
        // The end of a malformed request is unknown, so its connection cannot be kept.
        PendingRequest pending =
                new PendingRequest(
                        this,
                        head.protocolVersion(),
                        HttpUtil.isKeepAlive(head) && head.decoderResult().isSuccess());
        pendingRequests.add(pending);
        incoming = pending;
        requestStarted = true;
        setHeadBytes(0);
        readTimeout.onHeadReceived();
        updateReading();
        try {
            readHead(pending, head);
        } catch (RequestParser.BadRequestException badRequest) {
            reject(pending, badRequest);
        }
    }

    private void readHead(PendingRequest pending, HttpRequest head)
            throws RequestParser.BadRequestException {
        if (head.method().equals(HttpMethod.GET) && head.uri().equals("/ready")) {
            pending.respond(
                    ProxyResponse.of(
                            frontend.ready()
                                    ? HttpResponseStatus.OK
                                    : HttpResponseStatus.SERVICE_UNAVAILABLE));
            return;
        }
        ProxyRequest request =
                frontend.parser().parse(head, frontend.newBody(head, this::setBodyReading));
        if (request.body().declaredLength() > RequestBody.MAX_BYTES) {
            throw bodyTooLarge();
        }
        pending.request = request;
        pending.arrival = new RequestArrival(channel, readAhead, frontend::nowUs, request.body());
        pending.wantsContinue = HttpUtil.is100ContinueExpected(head);
        requestAdmission(pending, HttpUtil.isTransferEncodingChunked(head));
        sendContinue();
    }

    // ---- admission of bodies

    private void requestAdmission(PendingRequest pending, boolean chunked) {
        RequestBody body = pending.request.body();
        body.reserve(
                frontend.bodyAdmission(),
                chunked || body.declaredLength() > 0,
                () -> onAdmitted(pending));
        if (!body.admitted()) {
            pending.admissionTimer =
                    loop.schedule(
                            () -> refuseUnadmitted(pending),
                            Math.min(
                                    MAX_ADMISSION_WAIT_US,
                                    pending.request.timeoutUs() / ADMISSION_WAIT_DIVISOR),
                            TimeUnit.MICROSECONDS);
        }
    }

    private void onAdmitted(PendingRequest pending) {
        pending.cancelAdmissionTimer();
        setBodyReading(true);
        sendContinue();
    }

    /** Refuses a request whose body is not admitted in time; the body is read and dropped. */
    private void refuseUnadmitted(PendingRequest pending) {
        pending.admissionTimer = null;
        pending.notAdmitted = true;
        if (pending.wantsContinue) {
            // Without a 100 response, the client may leave out the body, so the end of its request
            // is unknown.
            pending.wantsContinue = false;
            pending.keepAlive = false;
        }
        pending.closeIfBodyIsMissing();
        pending.request.body().drop();
        pending.respond(frontend.requests().refuseUnadmitted(pending.request));
    }

    private static RequestParser.BadRequestException bodyTooLarge() {
        return new RequestParser.BadRequestException(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    private void onBodyContent(PendingRequest pending, HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        try {
            if (content.decoderResult().isFailure()) {
                throw new RequestParser.BadRequestException(
                        HttpResponseStatus.BAD_REQUEST,
                        "the body is not HTTP: " + content.decoderResult().cause().getMessage());
            }
            readTimeout.onBodyBytes(content.content().readableBytes());
            readAhead.onBodyPiece();
            if (pending.request != null) {
                addToBody(pending, content, last);
            }
            if (last) {
                onRequestReceived();
            }
        } catch (RequestParser.BadRequestException badRequest) {
            reject(pending, badRequest);
        }
    }

    private void addToBody(PendingRequest pending, HttpContent content, boolean last)
            throws RequestParser.BadRequestException {
        RequestBody body = pending.request.body();
        pending.arrival.noteMissingBytes();
        body.add(content.content());
        if (body.size() > RequestBody.MAX_BYTES) {
            throw bodyTooLarge();
        }
        if (last) {
            body.end();
        }
        if (pending.notAdmitted) {
            return;
        }
        long unreadUs = pending.arrival.forwardedWaitUs();
        if (!pending.accepted && (last || body.isLong())) {
            requireAccepted(frontend.requests().accept(pending.request, unreadUs, pending));
            pending.accepted = true;
            frontend.log().trace("on", pending.request.id(), channel.id());
            frontend.markBusy(this);
        } else if (last) {
            frontend.requests().bodyCompleted(pending.request.id(), unreadUs, pending);
        }
    }

    private static void requireAccepted(RequestHandler.Acceptance acceptance)
            throws RequestParser.BadRequestException {
        switch (acceptance) {
            case ACCEPTED -> {}
            case ID_IN_USE ->
                    throw new RequestParser.BadRequestException(
                            HttpResponseStatus.BAD_REQUEST, "X-Request-Id is already in use");
            case MAY_HAVE_RUN ->
                    throw new RequestParser.BadRequestException(
                            HttpResponseStatus.CONFLICT,
                            "a request with this X-Request-Id may have run");
        }
    }

    /** Called when a request has been received completely. */
    private void onRequestReceived() {
        incoming = null;
        requestStarted = false;
        readTimeout.onRequestReceived();
        readAhead.onRequestReceived();
        updateReading();
        frontend.markBusy(this);
        if (closeAfterBody) {
            closeGracefully();
        } else {
            markIdleIfDone();
        }
    }

    private void reject(PendingRequest pending, RequestParser.BadRequestException badRequest) {
        if (channel.isActive()) {
            // Nothing is logged for a closed connection, because its request is merely truncated by
            // the close.
            frontend.log()
                    .write(
                            "request rejected with "
                                    + badRequest.status()
                                    + ": "
                                    + badRequest.getMessage());
        }
        closing = true;
        readTimeout.cancel();
        readTimeout.abandonBody();
        incoming = null;
        requestStarted = false;
        pending.abandon();
        pending.keepAlive = false;
        if (!pendingRequests.contains(pending) || pending.streaming) {
            channel.close();
        } else {
            pending.respond(ProxyResponse.of(badRequest.status()));
        }
    }

    // ---- responses

    /**
     * Writes the available responses in the order of the requests. Stops at the first request whose
     * response is missing or has not been streamed completely.
     */
    void writeResponses() {
        while (!pendingRequests.isEmpty() && pendingRequests.peek().hasResponse()) {
            PendingRequest pending = pendingRequests.peek();
            if (pending.stream == null) {
                pendingRequests.poll();
                writeResponse(pending.response, pending);
            } else if (!pending.streaming) {
                begin(pending);
            } else if (pending.streamCompleted) {
                pendingRequests.poll();
            } else {
                break;
            }
        }
        sendContinue();
        markIdleIfDone();
        updateReading();
    }

    private void markIdleIfDone() {
        if (pendingRequests.isEmpty() && incoming == null && channel.isActive() && !closing) {
            frontend.markIdle(this);
        }
    }

    /**
     * Sends 100 Continue if the first pending request expects it. Later requests have to wait,
     * because the client takes a 100 response for the answer to its first unanswered request.
     */
    private void sendContinue() {
        PendingRequest next = pendingRequests.peek();
        if (next != null && next.wantsContinue && next.request.body().admitted()) {
            next.wantsContinue = false;
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Returns whether the connection stays open after the response to this request. While later
     * requests are pending, the proxy does not close the connection on its own initiative, because
     * it has already begun to process them. If the proxy shuts down, the response to the last of
     * them announces the close.
     */
    private boolean keepAliveAfterResponse(PendingRequest pending) {
        boolean allowed = frontend.keepAliveAfterResponse();
        boolean keepAlive =
                pending.keepAlive
                        && !pending.endsWithClose()
                        && (allowed
                                || pendingRequests.stream().anyMatch(other -> other != pending));
        closeAnnounced |= !keepAlive;
        return keepAlive;
    }

    private void writeResponse(ProxyResponse response, PendingRequest pending) {
        DefaultFullHttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        response.status(),
                        Unpooled.wrappedBuffer(response.body()));
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        if (response.retryAfter() != null) {
            message.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfter());
        }
        boolean keepAlive = keepAliveAfterResponse(pending);
        if (!keepAlive) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture writing = channel.writeAndFlush(message);
        boolean waits = !writing.isDone();
        if (waits) {
            unwrittenResponses++;
            closeUnlessWritten(writing);
        }
        writing.addListener(
                written -> {
                    traceLastByte(pending, written.isSuccess());
                    unwrittenResponses -= waits ? 1 : 0;
                    if (!keepAlive) {
                        closeAfterResponse(pending);
                    } else if (waits) {
                        updateReading();
                    }
                });
    }

    /** Closes the connection if the client does not read a response in time. */
    private void closeUnlessWritten(ChannelFuture writing) {
        Future<?> timeout =
                loop.schedule(
                        () -> {
                            frontend.log().write("client connection closed: it reads no responses");
                            channel.close();
                        },
                        MAX_WRITE_MS,
                        TimeUnit.MILLISECONDS);
        writing.addListener(written -> timeout.cancel(false));
    }

    private void traceLastByte(PendingRequest pending, boolean success) {
        if (pending.request != null) {
            frontend.log()
                    .trace(
                            "last-byte",
                            pending.request.id(),
                            success ? channel.id() : "not written");
        }
    }

    private void closeAfterResponse(PendingRequest pending) {
        if (incoming == pending) {
            closeAfterBody = true;
            frontend.closing(this);
        } else {
            closeGracefully();
        }
    }

    /** Writes the head of a streamed response and starts to forward its body. */
    private void begin(PendingRequest pending) {
        pending.streaming = true;
        boolean keepAlive = keepAliveAfterResponse(pending);
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (pending.stream.length() >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, pending.stream.length());
        } else if (!pending.endsWithClose()) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (!keepAlive) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(head);
        pending.stream.sendTo(
                channel,
                new Relay.Listener() {
                    @Override
                    public void completed() {
                        pending.streamCompleted = true;
                        traceLastByte(pending, true);
                        pending.streamListener.completed();
                        if (keepAlive) {
                            writeResponses();
                        } else {
                            closeAfterResponse(pending);
                        }
                    }

                    @Override
                    public void failed() {
                        pending.streamListener.failed();
                    }
                });
    }

    /**
     * Closes the connection during a streamed response, in such a way that the client sees that the
     * response is incomplete. If the client would take an orderly close for the end of the
     * response, the connection is reset instead.
     */
    void abortStream(PendingRequest pending) {
        if (pending.endsWithClose()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    // ---- closing

    /** Abandons all pending requests. */
    private void abandonAll() {
        frontend.markBusy(this);
        List<PendingRequest> abandoned = List.copyOf(pendingRequests);
        pendingRequests.clear();
        abandoned.forEach(PendingRequest::abandon);
    }

    /**
     * Abandons all pending requests. If the response to the first of them has not started yet,
     * sends a 502 response, because the client may still read. Otherwise closes the connection.
     */
    private void failAll() {
        boolean awaitsResponse = !pendingRequests.isEmpty() && !pendingRequests.peek().streaming;
        abandonAll();
        if (awaitsResponse) {
            PendingRequest last = new PendingRequest(this, HttpVersion.HTTP_1_1, false);
            incoming = null;
            readTimeout.abandonBody();
            writeResponse(ProxyResponse.failed(), last);
        } else {
            channel.close();
        }
    }

    /**
     * Abandons the pending requests if the client has closed its side of the connection, as after a
     * disconnect. A client that still reads gets a 502 response.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            failAll();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        readTimeout.cancel();
        setHeadBytes(0);
        frontend.log().trace("closed", "-", channel.id());
        frontend.onDisconnected(this);
        abandonAll();
    }

    /**
     * Abandons the requests of this connection after an error; other connections are not affected.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        frontend.log().write("client connection: " + cause);
        failAll();
    }
}
