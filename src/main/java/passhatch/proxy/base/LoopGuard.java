package passhatch.proxy.base;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;

/**
 * Ends the process if its event loop ends unexpectedly, as the process would otherwise stay alive
 * without serving requests.
 */
public final class LoopGuard {

    private final EventLog log;
    private final BooleanSupplier endExpected;
    private final Runnable exit;

    /**
     * Creates a guard.
     *
     * @param endExpected whether the loop has been told to end
     * @param exit ends the process; it must not allocate memory
     */
    public LoopGuard(EventLog log, BooleanSupplier endExpected, Runnable exit) {
        this.log = log;
        this.endExpected = endExpected;
        this.exit = exit;
    }

    /**
     * Watches a loop from now on. An error that ends a loop usually ends its thread in an orderly
     * way; if that fails as well, as without memory, the thread ends with an uncaught error.
     */
    public void watch(EventLoop loop) {
        loop.terminationFuture().addListener(ended -> onLoopEnded());
        loop.execute(
                () -> Thread.currentThread().setUncaughtExceptionHandler(this::onUncaughtError));
    }

    private void onLoopEnded() {
        if (!endExpected.getAsBoolean()) {
            try {
                log.write("the event loop has ended");
                log.flush();
            } finally {
                exit.run();
            }
        }
    }

    private void onUncaughtError(Thread thread, Throwable error) {
        try {
            log.bug("in thread " + thread.getName(), error);
            log.flush();
        } finally {
            exit.run();
        }
    }
}
