package passhatch.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the order of events and the simulated clock. */
final class EventQueueTest {

    private static final long START_US = 1_000;

    private final EventQueue<String> queue = new EventQueue<>(START_US);

    private record Expected(long timeUs, int number) {}

    private List<String> pollAllUntil(long limitUs) {
        List<String> polled = new ArrayList<>();
        for (String event = queue.pollUntil(limitUs);
                event != null;
                event = queue.pollUntil(limitUs)) {
            polled.add(event + "@" + queue.nowUs());
        }
        return polled;
    }

    @Test
    void pollsEventsInOrderOfTime() {
        queue.scheduleAt(3_000, "third");
        queue.scheduleAt(1_500, "first");
        queue.scheduleAfter(1_000, "second");
        assertEquals(List.of("first@1500", "second@2000", "third@3000"), pollAllUntil(3_000));
        assertTrue(queue.isEmpty());
    }

    @Test
    void pollsSimultaneousEventsInOrderOfScheduling() {
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            queue.scheduleAt(2_000, "event" + i);
            expected.add("event" + i + "@2000");
        }
        assertEquals(expected, pollAllUntil(2_000));
    }

    @Test
    void eventMayScheduleAnotherAtTheSameTime() {
        queue.scheduleAt(2_000, "first");
        queue.scheduleAt(2_000, "second");
        assertEquals("first", queue.pollUntil(2_000));
        queue.scheduleAfter(0, "third");
        assertEquals(List.of("second@2000", "third@2000"), pollAllUntil(2_000));
    }

    @Test
    void pollsNothingAfterTheLimit() {
        queue.scheduleAt(2_000, "event");
        assertNull(queue.pollUntil(1_999));
        assertEquals(START_US, queue.nowUs());
        assertEquals(1, queue.size());
        queue.advanceTo(1_999);
        assertEquals(1_999, queue.nowUs());
        assertEquals("event", queue.pollUntil(2_000));
    }

    @Test
    void clockNeverRunsBackwards() {
        queue.scheduleAt(2_000, "event");
        assertThrows(IllegalArgumentException.class, () -> queue.scheduleAt(START_US - 1, "past"));
        assertThrows(IllegalArgumentException.class, () -> queue.scheduleAfter(-1, "past"));
        assertThrows(IllegalArgumentException.class, () -> queue.advanceTo(START_US - 1));
        assertThrows(IllegalArgumentException.class, () -> queue.advanceTo(2_001));
        assertEquals(1, queue.size());
    }

    /** Many events share a time, and the queue grows and shrinks past several capacities. */
    @Test
    void pollsRandomEventsInTheOrderOfASortedReference() {
        SplittableRandom random = new SplittableRandom(11);
        PriorityQueue<Expected> reference =
                new PriorityQueue<>(
                        Comparator.comparingLong(Expected::timeUs)
                                .thenComparingInt(Expected::number));
        for (int i = 0; i < 100_000; i++) {
            boolean growing = i / 2_000 % 2 == 0;
            if (reference.isEmpty() || random.nextInt(10) < (growing ? 7 : 3)) {
                long timeUs = queue.nowUs() + random.nextInt(300);
                queue.scheduleAt(timeUs, "event" + i);
                reference.add(new Expected(timeUs, i));
            } else {
                Expected expected = reference.poll();
                assertEquals("event" + expected.number(), queue.pollUntil(Long.MAX_VALUE));
                assertEquals(expected.timeUs(), queue.nowUs());
            }
            assertEquals(reference.size(), queue.size());
        }
    }
}
