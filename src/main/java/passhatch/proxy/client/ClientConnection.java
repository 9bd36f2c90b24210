package passhatch.proxy.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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
import passhatch.proxy.flow.ResponseStream;

/** One client's connection. Answers leave in the order of the requests. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Requests of one connection that may be unanswered before no more are taken from it. */
    private static final int MOST_PIPELINED = 4;

    /**
     * A peer that connects, or begins a request, and has sent no head by then is let go: it may
     * take 2 s for that (operators' days), and is owed a close within 3 s (terms).
     */
    private static final long HEAD_WITHIN_US = 2_500_000;

    /** A body may stand still for this long, beside the time that its bytes take at the slowest. */
    private static final long BODY_PAUSE_US = 1_500_000;

    /** Half of the 64 kB a second that clients send at the slowest (operators' days), in pieces. */
    private static final double BODY_BYTES_PER_US = 0.032;

    private final ClientServer server;
    private final Channel channel;
    private final EventLoop loop;
    private final ReadAhead reads;
    private final ArrayDeque<Turn> turns = new ArrayDeque<>();

    /** The request that is coming in now, from its head to its end. */
    private Turn receiving;

    /** Where the body that is coming in goes to is full: nothing more of it is wanted. */
    private boolean bodyWaits;

    /** Ends the connection unless a whole request comes first; null while none is awaited. */
    private Future<?> patience;

    /** Bytes of a request have come, and not all of it. */
    private boolean started;

    private long idleSinceUs;
    private long awaitedSinceUs;
    private long bodySinceUs;
    private long bodyBytes;

    /**
     * It sent what is no request, or is sent away: it is told so, and nothing more is taken from
     * it.
     */
    private boolean leaving;

    /** An answer has told it that it is the last: no request behind it is taken. */
    private boolean lastAnswered;

    /** It is ended once all of a body that nobody waits for has come. */
    private boolean endsAfterBody;

    ClientConnection(ClientServer server, Channel channel, EventLoop loop) {
        this.server = server;
        this.channel = channel;
        this.loop = loop;
        this.reads = server.readAhead();
    }

    /** Its part of the pipeline, in front of the decoder. */
    ChannelInboundHandlerAdapter reads() {
        return reads;
    }

    /** Whether a request has begun to come in, and is not whole. */
    boolean started() {
        return started;
    }

    /** It has been without a request since then. */
    void idleSince(long us) {
        idleSinceUs = us;
    }

    long idleSince() {
        return idleSinceUs;
    }

    /** Ends it where nothing is to arrive on it any more. */
    void close() {
        channel.close();
    }

    /**
     * Ends it so that its last answer arrives, whatever its client is sending; nothing more is
     * taken.
     */
    void end() {
        leaving = true;
        endPatience();
        server.ending(this);
        LingeringClose.begin(channel);
    }

    /** A request on a connection, until its answer is written. */
    private static final class Turn implements RequestHandler.Responder {
        private final ClientConnection connection;
        private final HttpVersion version;
        boolean keepAlive;

        /** Null where it is none to pass on. */
        ProxyRequest request;

        boolean taken;
        boolean wantsContinue;
        Answer answer;
        ResponseStream stream;
        Relay.Listener out;
        boolean streaming;
        boolean streamed;

        Turn(ClientConnection connection, HttpVersion version, boolean keepAlive) {
            this.connection = connection;
            this.version = version;
            this.keepAlive = keepAlive;
        }

        @Override
        public void answer(Answer given) {
            answer = given;
            connection.writeAnswers();
        }

        @Override
        public void stream(ResponseStream given, Relay.Listener told) {
            stream = given;
            out = told;
            connection.writeAnswers();
        }

        @Override
        public void broken() {
            if (streaming) {
                connection.cutOff(this);
            } else {
                stream = null;
                answer(Answer.failed());
            }
        }

        /** Whether only the connection's end can show where its answer ends. */
        boolean endsByClose() {
            return stream != null && stream.length() < 0 && !version.equals(HttpVersion.HTTP_1_1);
        }

        boolean settled() {
            return answer != null || stream != null;
        }

        /** Gives the request up, wherever it is. */
        void abandon() {
            if (request != null) {
                connection.server.log().trace("abandoned", request.id(), connection.channel.id());
            }
            if (taken) {
                connection.server.requests().clientGone(request.id());
            } else if (request != null) {
                request.body().drop();
            }
        }
    }

    // ---- how long a peer may take

    /** Sees the bytes before they are a request. */
    final class Arrivals extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (receiving == null && turns.isEmpty()) {
                started = true;
                awaitRequest();
            }
            server.active(ClientConnection.this);
            ctx.fireChannelRead(bytes);
        }
    }

    private void awaitRequest() {
        if (patience == null) {
            awaitedSinceUs = server.nowUs();
            patience = loop.schedule(this::patienceOver, HEAD_WITHIN_US, TimeUnit.MICROSECONDS);
        }
    }

    private void patienceOver() {
        long leftUs = patienceEndsUs() - server.nowUs();
        if (leftUs <= 0) {
            channel.close();
        } else {
            patience = loop.schedule(this::patienceOver, leftUs, TimeUnit.MICROSECONDS);
        }
    }

    private long patienceEndsUs() {
        long headUs = awaitedSinceUs + HEAD_WITHIN_US;
        if (receiving == null) {
            return headUs;
        }
        long sinceUs = bodyWaits ? server.nowUs() : bodySinceUs;
        return Math.max(headUs, sinceUs + BODY_PAUSE_US + (long) (bodyBytes / BODY_BYTES_PER_US));
    }

    private void endPatience() {
        if (patience != null) {
            patience.cancel(false);
            patience = null;
        }
    }

    private void readBody(boolean on) {
        if (on && bodyWaits) {
            bodySinceUs = server.nowUs();
            bodyBytes = 0;
        }
        bodyWaits = !on;
        regulate();
    }

    private void regulate() {
        reads.want(turns.size() < MOST_PIPELINED && !bodyWaits);
    }

    // ---- requests

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        awaitRequest();
        server.arrived(this);
        server.log().trace("accepted", "-", channel);
        ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (leaving) {
            return;
        }
        if (part instanceof HttpRequest head && !lastAnswered) {
            begin(head);
        }
        if (part instanceof HttpContent content && receiving != null) {
            more(receiving, content);
        }
    }

    private void begin(HttpRequest head) {
        // Where a request ends is not known any more once one was malformed.
        Turn turn =
                new Turn(
                        this,
                        head.protocolVersion(),
                        HttpUtil.isKeepAlive(head) && head.decoderResult().isSuccess());
        turns.add(turn);
        receiving = turn;
        started = true;
        bodySinceUs = server.nowUs();
        bodyBytes = 0;
        awaitRequest();
        regulate();
        try {
            readHead(turn, head);
        } catch (RequestParser.BadRequest bad) {
            turnDown(turn, bad);
        }
    }

    private void readHead(Turn turn, HttpRequest head) throws RequestParser.BadRequest {
        if (head.method().equals(HttpMethod.GET) && head.uri().equals("/ready")) {
            turn.answer(
                    Answer.of(
                            server.ready()
                                    ? HttpResponseStatus.OK
                                    : HttpResponseStatus.SERVICE_UNAVAILABLE));
            return;
        }
        ProxyRequest request = server.parser().parse(head, server.body(head, this::readBody));
        if (request.body().declaredLength() > RequestBody.MAX_BYTES) {
            throw tooLarge();
        }
        turn.request = request;
        turn.wantsContinue = HttpUtil.is100ContinueExpected(head);
        sayContinue();
    }

    private static RequestParser.BadRequest tooLarge() {
        return new RequestParser.BadRequest(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    private void more(Turn turn, HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        try {
            if (content.decoderResult().isFailure()) {
                throw new RequestParser.BadRequest(
                        HttpResponseStatus.BAD_REQUEST,
                        "the body is not HTTP: " + content.decoderResult().cause().getMessage());
            }
            bodyBytes += content.content().readableBytes();
            if (turn.request != null) {
                takeBody(turn, content, last);
            }
            if (last) {
                received();
            }
        } catch (RequestParser.BadRequest bad) {
            turnDown(turn, bad);
        }
    }

    private void takeBody(Turn turn, HttpContent content, boolean last)
            throws RequestParser.BadRequest {
        RequestBody body = turn.request.body();
        body.add(content.content());
        if (body.size() > RequestBody.MAX_BYTES) {
            throw tooLarge();
        }
        if (last) {
            body.end();
        }
        if (!turn.taken && (last || body.isLong())) {
            if (!server.requests().take(turn.request, server.unreadUs(), turn)) {
                throw new RequestParser.BadRequest(
                        HttpResponseStatus.BAD_REQUEST, "X-Request-Id is already in use");
            }
            turn.taken = true;
            server.log().trace("on", turn.request.id(), channel.id());
            server.busy(this);
        } else if (last) {
            server.requests().bodyEnded(turn.request.id(), server.unreadUs());
        }
    }

    /** All of a request is in. */
    private void received() {
        receiving = null;
        started = false;
        bodyWaits = false;
        endPatience();
        server.busy(this);
        if (endsAfterBody) {
            end();
        } else {
            restIfDone();
        }
    }

    private void turnDown(Turn turn, RequestParser.BadRequest bad) {
        if (channel.isActive()) {
            // Else it is only cut off, as its peer has left or was let go.
            server.log().line("request refused with " + bad.status() + ": " + bad.getMessage());
        }
        leaving = true;
        endPatience();
        receiving = null;
        started = false;
        turn.abandon();
        turn.keepAlive = false;
        if (!turns.contains(turn) || turn.streaming) {
            channel.close();
        } else {
            turn.answer(Answer.of(bad.status()));
        }
    }

    // ---- answers

    /** Writes what is settled, up to the first request that is not. */
    void writeAnswers() {
        while (!turns.isEmpty() && turns.peek().settled()) {
            Turn turn = turns.peek();
            if (turn.stream == null) {
                turns.poll();
                write(turn.answer, turn);
            } else if (!turn.streaming) {
                begin(turn);
            } else if (turn.streamed) {
                turns.poll();
            } else {
                break;
            }
        }
        sayContinue();
        restIfDone();
        regulate();
    }

    private void restIfDone() {
        if (turns.isEmpty() && receiving == null && channel.isActive() && !leaving) {
            server.idle(this);
        }
    }

    /** Only the request whose answer is the next may be told to go on. */
    private void sayContinue() {
        Turn next = turns.peek();
        if (next != null && next.wantsContinue) {
            next.wantsContinue = false;
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Whether the connection stays after this answer. It does as well where more requests have come
     * on it, as they were taken: the last of them has its client sent away.
     */
    private boolean keeps(Turn turn) {
        boolean kept = server.keepsClient();
        boolean keeps =
                turn.keepAlive
                        && !turn.endsByClose()
                        && (kept || turns.stream().anyMatch(t -> t != turn));
        lastAnswered |= !keeps;
        return keeps;
    }

    private void write(Answer answer, Turn turn) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        answer.status(),
                        Unpooled.wrappedBuffer(answer.body()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        if (answer.retryAfter() != null) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, answer.retryAfter());
        }
        boolean keep = keeps(turn);
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(response)
                .addListener(
                        done -> {
                            traceOut(turn, done.isSuccess());
                            if (!keep) {
                                endAfter(turn);
                            }
                        });
    }

    private void traceOut(Turn turn, boolean success) {
        if (turn.request != null) {
            server.log()
                    .trace("last-byte", turn.request.id(), success ? channel.id() : "not written");
        }
    }

    private void endAfter(Turn turn) {
        if (receiving == turn) {
            endsAfterBody = true;
        } else {
            end();
        }
    }

    /** Begins an answer that goes on as it comes. */
    private void begin(Turn turn) {
        turn.streaming = true;
        boolean keep = keeps(turn);
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (turn.stream.length() >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, turn.stream.length());
        } else if (!turn.endsByClose()) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (!keep) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(head);
        turn.stream.sendTo(
                channel,
                new Relay.Listener() {
                    @Override
                    public void completed() {
                        turn.streamed = true;
                        traceOut(turn, true);
                        turn.out.completed();
                        if (keep) {
                            writeAnswers();
                        } else {
                            endAfter(turn);
                        }
                    }

                    @Override
                    public void failed() {
                        turn.out.failed();
                    }
                });
    }

    /**
     * The client must see that an answer is not whole; where only its end would tell, by a reset.
     */
    private void cutOff(Turn turn) {
        if (turn.endsByClose()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    // ---- the end of the connection

    /** Gives up all that it has out. */
    private void gone() {
        server.busy(this);
        List<Turn> left = List.copyOf(turns);
        turns.clear();
        left.forEach(Turn::abandon);
    }

    /** Gives up all that it has out, and tells a client that may still read so. */
    private void fail() {
        boolean awaitsAnswer = !turns.isEmpty() && !turns.peek().streaming;
        gone();
        if (awaitsAnswer) {
            Turn last = new Turn(this, HttpVersion.HTTP_1_1, false);
            receiving = null;
            write(Answer.failed(), last);
        } else {
            channel.close();
        }
    }

    /** A client that ends its sending has gone; one that reads on is told that it gets nothing. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endPatience();
        server.log().trace("closed", "-", channel.id());
        server.left(this);
        gone();
    }

    /** An error in here ends what this connection has out, and nothing else. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.log().line("client connection: " + cause);
        fail();
    }
}
