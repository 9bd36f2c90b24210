package passhatch.proxy.base;

import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes Netty's log messages to the proxy's log, one line each. The JDK's own handler reads files
 * when it writes its first line, which fails if no descriptor is left, and the error would end the
 * thread that logs.
 */
public final class NettyLog extends Handler {

    private static final long LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

    /** A strong reference: the JDK holds loggers weakly, and their handlers with them. */
    private static final Logger NETTY = Logger.getLogger("io.netty");

    private final EventLog log;
    private long nextWriteNs = System.nanoTime();

    private NettyLog(EventLog log) {
        this.log = log;
    }

    /** Writes Netty's warnings and errors to the given log from now on, at most one per second. */
    public static void redirectTo(EventLog log) {
        NETTY.setUseParentHandlers(false);
        NETTY.addHandler(new NettyLog(log));
    }

    @Override
    public synchronized void publish(LogRecord entry) {
        long nowNs = System.nanoTime();
        if (entry.getLevel().intValue() < Level.WARNING.intValue() || nowNs - nextWriteNs < 0) {
            return;
        }
        nextWriteNs = nowNs + LOG_INTERVAL_NS;
        Throwable cause = entry.getThrown();
        log.write("netty: " + entry.getMessage() + (cause == null ? "" : ": " + cause));
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
