package passhatch.proxy.discovery;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.base.EventLog;

/**
 * Watches discovery for the list of backends. A watch that ends is taken up again from the last
 * version heard; where discovery will not do that, the whole list is fetched first.
 */
public final class Discovery {

    /** More bytes than this are no list of backends. */
    private static final int LONGEST_LIST = 1 << 22;

    /** Hears what discovery says. */
    public interface Listener {
        /** The list, or changes to it, of which there may be none. */
        void listed(EndpointList list);

        /**
         * No watch is alive any more: what changed since it was last heard may have been missed.
         *
         * @param heardUsAgo microseconds since then
         */
        void lost(long heardUsAgo);

        /** A connection to it stands, whatever comes of it. */
        void reached();

        /**
         * It is found at another address from now on.
         *
         * @param heardUsAgo microseconds since the watch that is given up for it was last heard
         */
        void moved(long heardUsAgo);
    }

    private final EventLoop loop;
    private final EventLog log;
    private final Source source;
    private final Listener listener;
    private final Pauses pauses;
    private final WatchBudget budget;

    /** A call that has told nothing for so long is given up. */
    private long answerWithinMs;

    private long index;
    private boolean whole;
    private boolean stopped;
    private Channel channel;
    private InetSocketAddress address;

    /** The watch that is out; one that was given up for another says nothing any more. */
    private Watch current;

    /**
     * What there is to watch.
     *
     * @param known the list that is known already; empty where none is
     * @param onRequest whether the module says when to ask again after a watch has ended
     * @param zones names of the zones, by position
     * @param models names of the machine kinds, by position
     * @param drainGraceUs how long a server that drains may be sent something, in microseconds
     */
    public record Source(
            InetSocketAddress address,
            EndpointList known,
            boolean onRequest,
            List<String> zones,
            List<String> models,
            long drainGraceUs) {}

    /** A watch that has not begun; the seed is of the pauses between two. */
    public Discovery(EventLoop loop, EventLog log, Source source, long seed, Listener listener) {
        this.loop = loop;
        this.log = log;
        this.source = source;
        this.listener = listener;
        this.address = source.address();
        this.budget = WatchBudget.of(source.onRequest(), source.drainGraceUs());
        this.answerWithinMs = budget.firstAnswerMs();
        this.pauses = new Pauses(budget.longestPauseMs(), seed);
        this.index = source.known().index();
        // A list may well have the version 0: a watch from there is one call, a list and a watch
        // are two.
        this.whole = index == 0 && source.known().endpoints().isEmpty();
    }

    /** Goes on at another address; the watch at the old one is given up. */
    public void moveTo(InetSocketAddress to) {
        address = to;
        listener.moved(current == null ? 0 : microsSince(current.heardNs));
        pauses.reset();
        Channel old = channel;
        current = null;
        watch();
        if (old != null) {
            old.close();
        }
    }

    /** Starts a watch unless one is out; one that ends is taken up again unless the module asks. */
    public void watch() {
        if (stopped || current != null) {
            return;
        }
        boolean fetch = whole;
        String path = fetch ? "/v1/endpoints" : "/v1/endpoints?watch=1&from=" + index;
        Watch watch = new Watch(fetch);
        current = watch;
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) budget.connectMs())
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel ch) {
                                        ch.pipeline().addLast(new HttpClientCodec(), watch);
                                    }
                                });
        ChannelFuture connecting = bootstrap.connect(address);
        if (!(connecting.channel() instanceof SocketChannel)) {
            // The system gave no socket: there is no channel whose close would end the call.
            log.line("discovery: no socket: " + rootMessage(connecting.cause()));
            channel = null;
            loop.execute(() -> ended(watch));
            return;
        }
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        listener.reached();
                        DefaultFullHttpRequest get =
                                new DefaultFullHttpRequest(
                                        HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                        get.headers().set(HttpHeaderNames.HOST, "discovery");
                        connecting.channel().writeAndFlush(get);
                    } else {
                        watch.endReason = done.cause().getMessage();
                    }
                });
        log.line("discovery: call from version " + index + " to " + address + " begins");
        channel.closeFuture().addListener(closed -> ended(watch));
        awaitNews(watch);
    }

    private static String rootMessage(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage();
    }

    /** Bytes that tell nothing are no news, and neither is a list that has begun. */
    private void awaitNews(Watch watch) {
        if (stopped || watch != current) {
            return;
        }
        long limitMs = watch.heard ? budget.silenceMs() : answerWithinMs;
        long leftMs = limitMs - millisSince(watch.heardNs);
        if (leftMs > 0) {
            loop.schedule(() -> awaitNews(watch), leftMs, TimeUnit.MILLISECONDS);
            return;
        }
        if (watch.values.pending()) {
            watch.skipped("it did not end");
        }
        watch.endReason = "nothing was told for " + limitMs + " ms";
        channel.close();
    }

    public void stop() {
        stopped = true;
        if (channel != null) {
            channel.close();
        }
    }

    private void ended(Watch watch) {
        if (stopped || watch != current) {
            return;
        }
        current = null;
        if (watch.fetched) {
            watch();
            return;
        }
        if (!watch.heard && millisSince(watch.begunNs) >= answerWithinMs) {
            answerWithinMs = Math.min(2 * answerWithinMs, budget.longestAnswerMs());
        }
        log.line(
                "discovery: the watch from index "
                        + index
                        + " ended after "
                        + millisSince(watch.begunNs)
                        + " ms, "
                        + (watch.heard
                                ? "last heard " + millisSince(watch.heardNs) + " ms ago"
                                : "with nothing heard")
                        + ": "
                        + watch.endReason
                        + (watch.values.pending() ? ", within an object" : ""));
        listener.lost(microsSince(watch.heardNs));
        if (source.onRequest()) {
            // The module hears of it and says when to ask again.
            return;
        }
        loop.schedule(this::watch, pauses.next(), TimeUnit.MILLISECONDS);
    }

    private static long microsSince(long ns) {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - ns);
    }

    private static long millisSince(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - ns);
    }

    /** One answer of discovery: lists and changes as they come, or one whole list. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject>
            implements JsonValues.Listener {
        private final boolean fetch;
        private final JsonValues values = new JsonValues(LONGEST_LIST, this);
        private final long begunNs = System.nanoTime();
        private long heardNs = begunNs;
        private boolean ok;
        private boolean heard;
        private boolean skipping;
        private String endReason = "its connection was closed";
        boolean fetched;

        Watch(boolean fetch) {
            this.fetch = fetch;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (this != current) {
                return;
            }
            if (message instanceof HttpResponse response) {
                ok = response.status().equals(HttpResponseStatus.OK);
                if (!ok) {
                    endReason = "answered " + response.status();
                    // It may no longer know the version asked for.
                    whole = response.status().code() < 500;
                    ctx.close();
                    return;
                }
            }
            if (ok && message instanceof HttpContent content) {
                values.read(content.content());
                if (message instanceof LastHttpContent) {
                    if (values.pending()) {
                        skipped("it is cut off by the end of the answer");
                    }
                    endReason = "the answer ended";
                    ctx.close();
                }
            }
        }

        @Override
        public void object(String text) {
            EndpointList list;
            try {
                list = EndpointList.of(JSON.std.mapFrom(text), source.zones(), source.models());
            } catch (IOException | IllegalArgumentException bad) {
                skipped(bad.getMessage().lines().findFirst().orElse(""));
                return;
            }
            if (!list.whole() && list.index() < index) {
                // Versions only grow: what was said since would be undone, such as that a server
                // drains.
                skipped("its version " + list.index() + " is older than " + index);
                return;
            }
            hear("version " + list.index());
            log.trace("discovery-told", "version", list.index());
            skipping = false;
            index = list.index();
            whole = false;
            fetched = fetch;
            pauses.reset();
            listener.listed(list);
        }

        /** Said once a call: a release brings several versions a second. */
        private void hear(String what) {
            if (!heard) {
                log.line("discovery: " + what + " heard after " + millisSince(begunNs) + " ms");
            }
            heard = true;
            heardNs = System.nanoTime();
            answerWithinMs = budget.firstAnswerMs();
        }

        /** A watch with nothing to tell says so by an empty line: the list held is up to date. */
        @Override
        public void emptyLine() {
            pauses.reset();
            boolean first = !heard;
            hear("no change since version " + index);
            log.trace("discovery-told", "empty-line", index);
            if (first && !fetch) {
                listener.listed(new EndpointList(index, false, List.of()));
            }
        }

        /**
         * Where one is broken in the middle, more of its lines may follow: one line in the log
         * does.
         */
        @Override
        public void skipped(String why) {
            if (!skipping) {
                skipping = true;
                log.line("discovery: a list is skipped: " + why);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            endReason = cause.toString();
            ctx.close();
        }
    }
}
