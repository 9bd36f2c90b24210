package passhatch.proxy.base;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Counts how often an event loop has polled its connections. After each poll, the loop processes
 * all input that the poll has found before it runs other tasks and polls again. Used by one event
 * loop, and only on its thread.
 */
public final class PollCounter implements IoHandlerFactory {

    private final IoHandlerFactory factory;
    private long polls;

    /** Creates a counter for the only event loop that the given factory creates a handler for. */
    public PollCounter(IoHandlerFactory factory) {
        this.factory = factory;
    }

    /** Returns the number of polls, including one that is still waiting for input. */
    public long polls() {
        return polls;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new CountingHandler(factory.newHandler(executor));
    }

    /** Passes all calls on and counts the polls. */
    private final class CountingHandler implements IoHandler {
        private final IoHandler handler;

        CountingHandler(IoHandler handler) {
            this.handler = handler;
        }

        @Override
        public int run(IoHandlerContext context) {
            polls++;
            return handler.run(context);
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return handler.isCompatible(handleType);
        }
    }
}
