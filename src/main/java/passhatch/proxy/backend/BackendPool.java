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
    private static final int MOST_IDLE = 8;

    /**
     * Part of the backends' idle time after which a connection is closed, before they may close it.
     */
    private static final double IDLE_PART = 0.7;

    /** An answer of up to this size is held until it is whole; a longer one goes on as it comes. */
    private static final int MOST_HELD = 1 << 16;

    /**
     * So does one that may become longer and is not whole by then. Until then it may still break
     * and be asked for elsewhere, as spoilt answers often tell a length that is not theirs.
     */
    private static final long HOLD_MS = 200;

    /**
     * An answer that goes on as it comes, and of which nothing has come for so long though it was
     * read from, never ends: it is broken off, so that its client sees it. Slow peers pause for a
     * second or two.
     */
    private static final long STALL_MS = 5_000;

    /** Backends that sent what nothing asked for are taken to do so again for this long. */
    private static final long STRAYS_LAST_US = 60_000_000;

    /**
     * How a call ended.
     *
     * @param body of a 200 answer that was held, else null
     */
    public record Result(Outcome outcome, byte[] body, LoadReport report) {
        public static Result without(Outcome outcome) {
            return new Result(outcome, null, null);
        }
    }

    /** Hears of a call. */
    public interface Listener {
        /** The message was written whole. */
        default void written() {}

        /** An answer begins that goes on as it comes; from now on the time-out is off. */
        default void begun(ResponseStream answer) {}

        /** It has ended, once. */
        void done(Result result);
    }

    /** A call that may be given up. */
    public interface Handle {
        /** Closes its connection; it ends as cancelled unless it has ended already. */
        void cancel();

        /** Gives it this long from now on. */
        void endWithin(long us);
    }

    /**
     * What to send.
     *
     * @param message makes the message, or the head of one, when it can be written
     * @param body goes out after the head as it comes; null where the message is whole
     * @param wanted asked just before it is written: false where it must not be sent any more
     * @param timeout how it ends when its time is up after it was written
     */
    public record Outgoing(
            Supplier<HttpRequest> message,
            RequestBody body,
            BooleanSupplier wanted,
            long timeoutUs,
            Outcome timeout) {}

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final BufferBudget budget;
    private final long idleUs;
    private final long restUs;

    /**
     * Until then connections rest: it would cost more of them where no backend does such a thing.
     */
    private long strayUntilUs = Long.MIN_VALUE;

    private final DescriptorLimits descriptors;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<Connection>> idle = new HashMap<>();

    /**
     * A pool without connections.
     *
     * @param budget of the bytes that it passes on
     * @param keepaliveUs after which backends close idle connections; 0 where none may be kept
     * @param restUs how long a connection rests after an answer before it is used again while
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
            long restUs,
            DescriptorLimits descriptors) {
        this(
                loop,
                clock,
                log,
                budget,
                connectTimeoutUs,
                keepaliveUs,
                restUs,
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
            long restUs,
            DescriptorLimits descriptors,
            ChannelFactory<BackendChannel> sockets) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.budget = budget;
        this.idleUs = (long) (keepaliveUs * IDLE_PART);
        this.restUs = restUs;
        this.descriptors = descriptors;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(sockets)
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
        long before = clock.nowUs() - idleUs;
        for (Deque<Connection> at : idle.values()) {
            while (!at.isEmpty() && at.peekLast().idleSinceUs <= before) {
                at.pollLast().channel.close();
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Closes the idle connections to a backend. */
    public void closeIdle(InetSocketAddress address) {
        Deque<Connection> at = idle.remove(address);
        if (at != null) {
            at.forEach(c -> c.channel.close());
        }
    }

    /** How many connections are kept for later. */
    public int idle() {
        return idle.values().stream().mapToInt(Deque::size).sum();
    }

    /** Sends a message to a backend, on a kept connection if there is one. */
    public Handle send(InetSocketAddress address, Outgoing outgoing, Listener listener) {
        Call call = new Call(outgoing, listener);
        Connection kept = takeIdle(address);
        if (kept == null && descriptors.backendsFull()) {
            closeLongestIdle();
        }
        if (kept == null && descriptors.backendsFull()) {
            log.line(
                    "no connection left for "
                            + address
                            + ": "
                            + descriptors.backends()
                            + " are open");
            loop.execute(() -> call.end(Result.without(Outcome.NOT_SENT)));
            return call;
        }
        call.endWithin(outgoing.timeoutUs());
        if (kept != null) {
            kept.call = call;
            call.connection = kept;
            kept.write(call);
        } else {
            connect(address, call);
        }
        return call;
    }

    private Connection takeIdle(InetSocketAddress address) {
        long now = clock.nowUs();
        Deque<Connection> at = idle.get(address);
        if (at == null) {
            return null;
        }
        for (Iterator<Connection> each = at.iterator(); each.hasNext(); ) {
            Connection c = each.next();
            if (c.restsUntilUs <= now || strayUntilUs <= now) {
                each.remove();
                if (c.channel.isActive() && c.idleSinceUs > now - idleUs && c.channel.quiet()) {
                    return c;
                }
                c.channel.close();
            }
        }
        return null;
    }

    private void strayed(InetSocketAddress from, String what) {
        strayUntilUs = clock.nowUs() + STRAYS_LAST_US;
        log.line(what + " from " + from + " that nothing asked for");
    }

    /** Makes room for one to another backend. */
    private void closeLongestIdle() {
        idle.values().stream()
                .filter(at -> !at.isEmpty())
                .map(Deque::peekLast)
                .min(Comparator.comparingLong(c -> c.idleSinceUs))
                .ifPresent(c -> c.channel.close());
    }

    private void connect(InetSocketAddress address, Call call) {
        Connection c = new Connection(address);
        c.call = call;
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(c.decoder, new HttpRequestEncoder(), c);
                                    }
                                })
                        .connect(address);
        if (!(connecting.channel() instanceof BackendChannel channel)) {
            loop.execute(() -> notSent(call, address, connecting.cause()));
            return;
        }
        c.channel = channel;
        call.connection = c;
        descriptors.addBackends(1);
        // Runs in a later step of the loop even where the connection fails at once.
        connecting.addListener(
                done ->
                        loop.execute(
                                () -> {
                                    if (done.isSuccess()) {
                                        c.write(call);
                                    } else if (LocalFailure.isLocal(done.cause())) {
                                        notSent(call, address, done.cause());
                                    } else {
                                        c.broken();
                                    }
                                }));
        c.channel.closeFuture().addListener(closed -> descriptors.addBackends(-1));
    }

    /** Nothing of this is the backend's doing. */
    private void notSent(Call call, InetSocketAddress address, Throwable cause) {
        if (!call.ended) {
            log.line("no connection could be made here to " + address + ": " + cause);
            call.end(Result.without(Outcome.NOT_SENT));
        }
    }

    /** One call, from its start to its only result. */
    private final class Call implements Handle {
        final Outgoing outgoing;
        private final Listener listener;
        Connection connection;
        Future<?> timeout;

        /** All of the message has been handed to the network: from now on it may run. */
        boolean written;

        boolean ended;

        Call(Outgoing outgoing, Listener listener) {
            this.outgoing = outgoing;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            giveUp(Outcome.CANCELLED);
        }

        @Override
        public void endWithin(long us) {
            stopClock();
            if (!ended) {
                timeout = loop.schedule(this::timeUp, Math.max(0, us), TimeUnit.MICROSECONDS);
            }
        }

        void stopClock() {
            if (timeout != null) {
                timeout.cancel(false);
                timeout = null;
            }
        }

        /** All of the message has been handed to the network. */
        void out() {
            if (!ended) {
                written = true;
                listener.written();
            }
        }

        private void timeUp() {
            if (connection != null && connection.goesOn()) {
                return;
            }
            // What was never written whole cannot run: the connection did not come up in time.
            giveUp(written ? outgoing.timeout() : Outcome.CONNECT_FAILED);
        }

        void giveUp(Outcome outcome) {
            if (!ended) {
                if (connection != null) {
                    connection.letGo();
                }
                end(Result.without(outcome));
            }
        }

        void end(Result result) {
            if (!ended) {
                ended = true;
                stopClock();
                if (outgoing.body() != null && !written) {
                    outgoing.body().stopSending();
                }
                listener.done(result);
            }
        }
    }

    /** A connection, and the call that it carries now. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress address;
        final AnswerDecoder decoder = new AnswerDecoder();
        BackendChannel channel;
        Call call;
        long idleSinceUs;
        long restsUntilUs;

        /** The answer to the call, until all that came with it has been read. */
        private Incoming answer;

        /** What comes now belongs to an interim answer. */
        private boolean interim;

        Connection(InetSocketAddress address) {
            this.address = address;
        }

        /** Writes the message, unless the call has been given up or must not go out any more. */
        void write(Call toWrite) {
            if (toWrite.ended) {
                channel.close();
            } else if (!channel.isActive()) {
                broken();
            } else if (!toWrite.outgoing.wanted().getAsBoolean()) {
                call = null;
                keep(0);
                toWrite.end(Result.without(Outcome.NOT_SENT));
            } else {
                decoder.expectAnswer();
                RequestBody body = toWrite.outgoing.body();
                channel.writeAndFlush(toWrite.outgoing.message().get())
                        .addListener(
                                done -> {
                                    if (!done.isSuccess()) {
                                        channel.close();
                                    } else if (body == null) {
                                        toWrite.out();
                                    }
                                });
                if (body != null) {
                    body.sendTo(channel, new BodyOut(toWrite));
                }
            }
        }

        /** A long answer whose start is here in time is passed on now, and its rest as it comes. */
        boolean goesOn() {
            return answer != null && answer.goesOn();
        }

        /** The connection is given up, whatever it carries. */
        void letGo() {
            call = null;
            dropAnswer();
            channel.close();
        }

        private void dropAnswer() {
            Incoming dropped = answer;
            answer = null;
            if (dropped != null) {
                dropped.drop();
            }
        }

        /** The connection is gone: before the last byte was written the request cannot have run. */
        void broken() {
            Call lost = call;
            call = null;
            dropAnswer();
            if (lost != null) {
                lost.end(Result.without(lost.written ? Outcome.RESET : Outcome.CONNECT_FAILED));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part instanceof HttpResponse head) {
                begin(ctx, head);
            }
            if (part instanceof HttpContent content) {
                if (interim) {
                    interim = !(content instanceof LastHttpContent);
                } else if (answer != null) {
                    answer.take(content);
                }
            }
        }

        private void begin(ChannelHandlerContext ctx, HttpResponse head) {
            interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (interim) {
                return;
            }
            if (call == null) {
                strayed(address, "an answer");
                ctx.close();
            } else if (answer == null) {
                answer = new Incoming(this, call, head);
            } else {
                answer.second(head);
            }
        }

        /**
         * The answer counts, and its connection may serve again, only when all that has arrived is
         * read: what came after its end would pass for the answer to the next request.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean surplus = decoder.surplus();
            Call answered = call;
            Incoming given = answer;
            if (answered == null && surplus) {
                strayed(address, "bytes");
                ctx.close();
            } else if (answered != null && given != null && given.complete()) {
                if (surplus || !given.single) {
                    strayed(address, "more than an answer");
                }
                boolean again =
                        given.keepAlive() && answered.written && !surplus && !decoder.peerEnded();
                call = null;
                answer = null;
                if (again) {
                    keep(restUs);
                } else {
                    ctx.close();
                }
                given.finish(surplus);
            }
            ctx.fireChannelReadComplete();
        }

        private void keep(long rest) {
            channel.config().setAutoRead(true);
            idleSinceUs = clock.nowUs();
            restsUntilUs = idleSinceUs + rest;
            Deque<Connection> at = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
            at.addFirst(this);
            if (at.size() > MOST_IDLE || idleUs <= 0) {
                at.pollLast().channel.close();
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
            Deque<Connection> at = idle.get(address);
            if (at != null) {
                at.remove(this);
            }
            broken();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.line("connection to " + address + ": " + cause);
            ctx.close();
        }
    }

    /** Hears how the body of a request went out. */
    private record BodyOut(Call call) implements Relay.Listener {
        @Override
        public void completed() {
            call.out();
        }

        @Override
        public void failed() {
            call.connection.channel.close();
        }
    }

    /** An answer while it comes in. */
    private final class Incoming implements ResponseStream {
        private final Connection connection;
        private final Call call;
        private final HttpResponse head;
        private final long length;
        private final BufferedBytes held = new BufferedBytes(budget);
        private final Future<?> hold;
        private Future<?> stall;

        /** It is read from, and something has come since the last look. */
        private boolean moved;

        private Relay relay;
        private long size;
        private boolean begun;
        private boolean whole;
        private boolean malformed;
        private boolean single = true;

        Incoming(Connection connection, Call call, HttpResponse head) {
            this.connection = connection;
            this.call = call;
            this.head = head;
            this.length = HttpUtil.getContentLength(head, -1L);
            this.malformed =
                    head.decoderResult().isFailure()
                            || connection.decoder.malformed()
                            || length > RequestBody.MAX_BYTES;
            boolean mayBeLong = length < 0 || length > MOST_HELD;
            this.hold =
                    mayBeLong && head.status().equals(HttpResponseStatus.OK)
                            ? loop.schedule(this::begin, HOLD_MS, TimeUnit.MILLISECONDS)
                            : null;
        }

        /**
         * A second answer to one request is dropped with its connection; one that is no HTTP may be
         * what is left of a body that was longer than its head said.
         */
        void second(HttpResponse next) {
            single = false;
            malformed |= next.decoderResult().isFailure();
        }

        void take(HttpContent content) {
            moved = true;
            size += content.content().readableBytes();
            malformed |= content.decoderResult().isFailure() || size > RequestBody.MAX_BYTES;
            if (!single || malformed) {
                return;
            }
            if (relay != null) {
                relay.forward(content.content().retain());
            } else {
                held.add(content.content());
            }
            whole |= content instanceof LastHttpContent;
            if (!whole && held.size() > MOST_HELD) {
                begin();
            }
        }

        /** From now on it goes on as it comes; where it is no 200, nobody wants the rest. */
        private void begin() {
            if (begun || whole || malformed || connection.answer != this) {
                return;
            }
            if (head.status().equals(HttpResponseStatus.OK)) {
                begun = true;
                connection.channel.config().setAutoRead(false);
                call.stopClock();
                watchStall();
                call.listener.begun(this);
            } else {
                connection.letGo();
                call.end(result(head, null));
            }
        }

        /**
         * Has it go on now if it is known to be long: of such the first bytes are timed, not the
         * last.
         */
        boolean goesOn() {
            if (length > MOST_HELD) {
                begin();
            }
            return begun;
        }

        /** Of one that is not read from, as its client is slow, nothing can come. */
        private void watchStall() {
            stall =
                    loop.schedule(
                            () -> {
                                if (moved || !connection.channel.config().isAutoRead()) {
                                    moved = false;
                                    watchStall();
                                } else {
                                    log.line(
                                            "an answer from "
                                                    + connection.address
                                                    + " does not end");
                                    connection.channel.close();
                                }
                            },
                            STALL_MS,
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
                                if (!whole) {
                                    connection.channel.config().setAutoRead(on);
                                }
                            },
                            client,
                            listener);
            relay.forward(Unpooled.wrappedBuffer(held.take()));
            if (whole && relay != null) {
                relay.finish();
            }
        }

        boolean complete() {
            return whole || malformed;
        }

        boolean keepAlive() {
            return whole && single && !malformed && HttpUtil.isKeepAlive(head);
        }

        /** All that came with it has been read. */
        void finish(boolean surplus) {
            stopTimers();
            byte[] body = begun ? null : held.take();
            if (malformed || surplus && !begun) {
                drop();
                call.end(Result.without(Outcome.RESET));
                return;
            }
            call.end(result(head, body));
            if (relay != null) {
                relay.finish();
            }
        }

        /** It will not be whole. */
        void drop() {
            stopTimers();
            held.drop();
            if (relay != null) {
                relay.stop();
                relay = null;
            }
        }

        private void stopTimers() {
            if (hold != null) {
                hold.cancel(false);
            }
            if (stall != null) {
                stall.cancel(false);
            }
        }
    }

    private static Result result(HttpResponse response, byte[] body) {
        HttpResponseStatus status = response.status();
        LoadReport report = LoadText.parse(response.headers().get("X-Load"));
        if (status.equals(HttpResponseStatus.OK)) {
            return new Result(Outcome.OK, body, report);
        }
        // Without the header a 503 or 504 may come from a tier behind, after the request ran.
        boolean turnedAway =
                (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                                || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                        && "1".equals(response.headers().get("X-Not-Run"));
        return new Result(turnedAway ? Outcome.FULL : Outcome.ERROR, null, report);
    }
}
