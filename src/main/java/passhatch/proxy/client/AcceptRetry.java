package passhatch.proxy.client;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.base.EventLog;

/**
 * Resumes accepting connections soon after an accept has failed. By default Netty stops accepting
 * for one second. Meanwhile, requests with short deadlines expire, because their connections wait
 * in the listener's queue.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {

    /**
     * Delay in milliseconds after a failed accept until the proxy accepts connections again. It is
     * long enough not to spin while no file descriptor is free, and short compared with every
     * request's deadline.
     */
    static final long RETRY_DELAY_MS = 10;

    private static final long LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(10);

    private final EventLog log;
    private long nextLogNs = System.nanoTime();

    AcceptRetry(EventLog log) {
        this.log = log;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        long nowNs = System.nanoTime();
        if (nowNs - nextLogNs >= 0) {
            nextLogNs = nowNs + LOG_INTERVAL_NS;
            log.write("a connection could not be accepted: " + cause.getMessage());
        }
        ChannelConfig config = ctx.channel().config();
        config.setAutoRead(false);
        ctx.channel()
                .eventLoop()
                .schedule(() -> config.setAutoRead(true), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
}
