package passhatch.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import passhatch.lab.Seeds;
import passhatch.lab.standin.BackendServer;
import passhatch.lab.standin.RequestLedger;
import passhatch.lab.standin.ServiceTime;

/** Tests the load generator against a single stand-in backend. */
class LoadGeneratorTest {

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RequestLedger ledger = new RequestLedger();
    private BackendServer backend;
    private ProxyPool proxies;

    @BeforeEach
    void start() throws Exception {
        backend =
                new BackendServer(
                        "b",
                        new BackendServer.Capacity(
                                64,
                                64,
                                1_000,
                                1_000,
                                new ServiceTime(ServiceTime.Distribution.CONSTANT, 1_000, 0),
                                1,
                                0),
                        group.next(),
                        ledger,
                        new Seeds(1).stream("b"));
        backend.start();
        proxies = new ProxyPool(List.of(backend.address()));
        proxies.setAdmitted(0, true);
    }

    @AfterEach
    void stop() {
        backend.close();
        group.shutdownGracefully();
    }

    private LoadStats runLoad(int maxRetries, Runnable duringLoad) throws InterruptedException {
        LoadPlan plan =
                new LoadPlan(
                        400,
                        true,
                        1_500,
                        maxRetries,
                        16,
                        1,
                        List.of(
                                new LoadPlan.RequestClass("a", LoadPlan.Effect.SAFE, 1, 800_000),
                                new LoadPlan.RequestClass(
                                        "b", LoadPlan.Effect.UNSAFE, 1, 800_000)));
        try (LoadGenerator load = new LoadGenerator(plan, proxies, new Seeds(3))) {
            load.start(System.nanoTime());
            while (load.completedAndServed()[0] < 200) {
                Thread.sleep(5);
            }
            duringLoad.run();
            return load.await();
        }
    }

    @Test
    void countsEachRequestOnce() throws Exception {
        LoadStats stats = runLoad(0, () -> {});
        assertEquals(600, stats.offered(), 1);
        assertEquals(stats.offered(), stats.count(Outcome.SERVED));
        assertEquals(stats.offered(), ledger.attempts());
    }

    /**
     * A stall of the server must raise the latency of all requests that were due during it, on
     * average by half of its length.
     */
    @Test
    void latencyIncludesServerStall() throws Exception {
        LoadStats stats =
                runLoad(
                        0,
                        () ->
                                group.next()
                                        .execute(
                                                () -> {
                                                    try {
                                                        // Blocks the backend's only thread.
                                                        Thread.sleep(400);
                                                    } catch (InterruptedException interrupted) {
                                                        Thread.currentThread().interrupt();
                                                    }
                                                }));
        long delayedRequests = stats.latencyUs().getCountBetweenValues(100_000, 10_000_000);
        assertTrue(
                delayedRequests >= 0.2 * 400 && delayedRequests <= 0.5 * 400,
                delayedRequests + " requests took more than 100 ms");
    }

    @Test
    void unansweredRequestIsCutIfProxyIsFaultyElseLost() throws Exception {
        backend.setHealth(BackendServer.Health.RESETTING, 1);
        assertTrue(runLoad(0, () -> {}).count(Outcome.LOST) > 500);
        proxies.setFaulty(0, true);
        assertTrue(runLoad(0, () -> {}).count(Outcome.CUT) > 500);
    }

    @Test
    void retriesOnlyRepeatableRequests() throws Exception {
        backend.setHealth(BackendServer.Health.FAILING, 1);
        LoadStats stats = runLoad(1, () -> {});
        assertEquals(
                stats.offered() / 2.0, stats.clientRetries(), 80, "only the safe half is retried");
        assertEquals(stats.offered(), stats.count(Outcome.FAILED));
        assertEquals(0, ledger.duplicates());
    }
}
