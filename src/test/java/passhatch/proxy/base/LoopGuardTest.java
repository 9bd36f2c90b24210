package passhatch.proxy.base;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** When the end of the event loop ends the process. */
final class LoopGuardTest {

    private static final long TIMEOUT_S = 10;

    private final EventLog log = new EventLog(new PrintStream(PrintStream.nullOutputStream()));
    private final AtomicBoolean failing = new AtomicBoolean();
    private final AtomicBoolean endExpected = new AtomicBoolean();
    private final CountDownLatch exited = new CountDownLatch(1);
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, this::newFailingHandler);

    /** Returns a handler that runs out of memory when {@link #failing} is set. */
    private IoHandler newFailingHandler(io.netty.util.concurrent.ThreadAwareExecutor executor) {
        IoHandlerFactory factory = NioIoHandler.newFactory();
        IoHandler handler = factory.newHandler(executor);
        return (IoHandler)
                Proxy.newProxyInstance(
                        IoHandler.class.getClassLoader(),
                        new Class<?>[] {IoHandler.class},
                        (proxy, method, arguments) -> {
                            if (failing.get() && method.getName().equals("run")) {
                                throw new OutOfMemoryError("simulated");
                            }
                            try {
                                return method.invoke(handler, arguments);
                            } catch (InvocationTargetException failed) {
                                throw failed.getCause();
                            }
                        });
    }

    private void watch() {
        new LoopGuard(log, endExpected::get, exited::countDown).watch(group.next());
    }

    /** Guards against a process that serves nobody: Netty catches the error that ends a loop. */
    @Test
    void anErrorThatEndsTheLoopEndsTheProcess() throws Exception {
        watch();
        failing.set(true);
        group.next().execute(() -> {});
        assertTrue(exited.await(TIMEOUT_S, TimeUnit.SECONDS), "the process goes on without a loop");
    }

    @Test
    void anOrderlyEndDoesNotEndTheProcess() throws Exception {
        watch();
        endExpected.set(true);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
        assertEquals(1, exited.getCount());
    }
}
