package passhatch.proxy.client;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.base.EventLog;

/**
 * Keeps accepting connections after an accept has failed. By default Netty stops accepting for one
 * second, in which requests with short deadlines expire in the listener's queue.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {

    /**
     * Long enough not to spin while no descriptor is left, and short compared with every deadline.
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
            log.line("a connection could not be accepted: " + cause.getMessage());
        }
        ChannelConfig config = ctx.channel().config();
        config.setAutoRead(false);
        ctx.channel()
                .eventLoop()
                .schedule(() -> config.setAutoRead(true), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }
}
