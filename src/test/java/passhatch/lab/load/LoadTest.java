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
import passhatch.lab.standin.Ledger;
import passhatch.lab.standin.ServiceTime;

/** The load tool against a stand-in alone. */
class LoadTest {

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Ledger ledger = new Ledger();
    private BackendServer backend;
    private Front front;

    @BeforeEach
    void start() throws Exception {
        backend =
                new BackendServer(
                        "b",
                        new BackendServer.Shape(
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
        front = new Front(List.of(backend.address()));
        front.admit(0, true);
    }

    @AfterEach
    void stop() {
        backend.close();
        group.shutdownGracefully();
    }

    private Tally give(int retries, Runnable inTheMiddle) throws InterruptedException {
        LoadPlan plan =
                new LoadPlan(
                        400,
                        true,
                        1_500,
                        retries,
                        16,
                        1,
                        List.of(
                                new LoadPlan.Kind("a", LoadPlan.Effect.SAFE, 1, 800_000),
                                new LoadPlan.Kind("b", LoadPlan.Effect.UNSAFE, 1, 800_000)));
        try (Load load = new Load(plan, front, new Seeds(3))) {
            load.begin(System.nanoTime());
            while (load.soFar()[0] < 200) {
                Thread.sleep(5);
            }
            inTheMiddle.run();
            return load.await();
        }
    }

    @Test
    void countsEachRequestOnceAndServedOnesAsServed() throws Exception {
        Tally tally = give(0, () -> {});
        assertEquals(600, tally.offered(), 1);
        assertEquals(tally.offered(), tally.count(Outcome.SERVED));
        assertEquals(tally.offered(), ledger.attempts());
    }

    /**
     * A stall of the server is felt by all that were due meanwhile: by half of what it lasted on
     * the mean.
     */
    @Test
    void aStallIsNotLeftOutOfTheLatency() throws Exception {
        Tally tally =
                give(
                        0,
                        () ->
                                group.next()
                                        .execute(
                                                () -> {
                                                    try {
                                                        Thread.sleep(
                                                                400); // the stand-in's only thread
                                                        // is the one that stalls
                                                    } catch (InterruptedException stop) {
                                                        Thread.currentThread().interrupt();
                                                    }
                                                }));
        long felt = tally.latencyUs().getCountBetweenValues(100_000, 10_000_000);
        assertTrue(felt >= 0.2 * 400 && felt <= 0.5 * 400, felt + " requests took over 100 ms");
    }

    @Test
    void whatAKilledProcessLeavesUnansweredIsCutAndElseItIsLost() throws Exception {
        backend.health(BackendServer.Health.RESETTING, 1);
        assertTrue(give(0, () -> {}).count(Outcome.LOST) > 500);
        front.hurt(0, true);
        assertTrue(give(0, () -> {}).count(Outcome.CUT) > 500);
    }

    @Test
    void onlyWhatMayBeRepeatedIsTriedAgain() throws Exception {
        backend.health(BackendServer.Health.FAILING, 1);
        Tally tally = give(1, () -> {});
        assertEquals(tally.offered() / 2.0, tally.retries(), 80, "the safe ones");
        assertEquals(tally.offered(), tally.count(Outcome.FAILED));
        assertEquals(0, ledger.duplicates());
    }
}
