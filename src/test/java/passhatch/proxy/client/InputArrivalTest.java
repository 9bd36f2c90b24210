package passhatch.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import passhatch.proxy.client.InputArrival.LoopTime;

/** Plays a connection in simulated time, and compares the bound with the true arrival times. */
class InputArrivalTest {

    private static final int SEEDS = 200;
    private static final int POLLS = 400;

    /** Maximum time between two polls. */
    private static final int MAX_PASS_US = 5_000;

    /**
     * No bound is later than the arrival of the input that it is for, in whatever order it came.
     */
    @Test
    void noInputArrivedBeforeItsBound() {
        for (int seed = 0; seed < SEEDS; seed++) {
            play(new SplittableRandom(seed), seed);
        }
    }

    private static void play(SplittableRandom random, int seed) {
        InputArrival arrival = new InputArrival();
        long nowUs = 0;
        long lastPassUs = 0;
        long oldestUnreadUs = Long.MAX_VALUE;
        boolean reading = true;
        for (long poll = 1; poll <= POLLS; poll++) {
            boolean found = reading && oldestUnreadUs <= nowUs;
            long passUs = random.nextInt(MAX_PASS_US);
            if (random.nextInt(3) == 0) {
                oldestUnreadUs = Math.min(oldestUnreadUs, nowUs + random.nextInt(MAX_PASS_US));
            }
            nowUs += passUs;
            // What this poll has found may have arrived just after the poll before.
            LoopTime time = new LoopTime(nowUs, lastPassUs + passUs, poll);
            String message = "seed " + seed + ", poll " + poll;
            if (found) {
                assertTrue(arrival.onRead(time) <= oldestUnreadUs, message);
                // What is left, or follows at once, may have been sent together with what was read.
                oldestUnreadUs = random.nextBoolean() ? oldestUnreadUs : Long.MAX_VALUE;
            }
            if (random.nextInt(5) == 0) {
                reading = !reading;
                arrival.setReading(reading, time);
            }
            assertTrue(arrival.earliestUs(time) <= oldestUnreadUs, message);
            lastPassUs = passUs;
        }
    }

    /** Input of a client that the proxy keeps up with counts from its read. */
    @Test
    void inputThatIsReadAtOnceHasNotWaited() {
        InputArrival arrival = new InputArrival();
        assertEquals(90, arrival.onRead(new LoopTime(100, 10, 1)));
        assertEquals(90, arrival.onRead(new LoopTime(200, 10, 2)), "no poll found nothing");
        assertEquals(290, arrival.onRead(new LoopTime(300, 10, 4)));
    }

    /** A client on a busy proxy that sends each request after the last response has not waited. */
    @Test
    void requestsThatFollowEachOtherCountFromTheirReads() {
        InputArrival arrival = new InputArrival();
        for (long poll = 1; poll < 100; poll++) {
            assertEquals(1_000 * poll, arrival.onRead(new LoopTime(1_000 * poll, 0, poll)));
            arrival.onRequestsRead();
        }
    }

    /** Input may have waited since reading was paused, until a poll finds nothing again. */
    @Test
    void inputMayHaveWaitedSinceThePause() {
        InputArrival arrival = new InputArrival();
        arrival.setReading(false, new LoopTime(100, 0, 1));
        assertEquals(100, arrival.earliestUs(new LoopTime(5_000, 0, 50)));
        arrival.setReading(true, new LoopTime(6_000, 0, 60));
        assertEquals(100, arrival.earliestUs(new LoopTime(6_001, 0, 61)));
        assertEquals(6_002, arrival.earliestUs(new LoopTime(6_002, 0, 62)));
    }
}
