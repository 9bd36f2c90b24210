package passhatch.proxy.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which bodies are admitted to memory, and when. */
final class BodyAdmissionTest {

    private static final int MAX_BYTES = 1_000_000;
    private static final int MAX_BODY_BYTES = 80_000;
    private static final int MAX_BODIES = 100;
    private static final int STEPS = 2_000;
    private static final int SEEDS = 50;

    private final BufferBudget budget = new BufferBudget(MAX_BYTES);
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final BodyAdmission admission = new BodyAdmission(budget, MAX_BYTES, tasks::add);

    /** The reservations that were admitted, in the order of their admission. */
    private final List<Integer> admitted = new ArrayList<>();

    private BodyAdmission.Reservation reserve(int number, long bytes) {
        BodyAdmission.Reservation reservation =
                admission.reserve(bytes, () -> admitted.add(number));
        if (reservation.admitted()) {
            admitted.add(number);
        }
        return reservation;
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    /**
     * In any order of arrivals, bytes and ends, the reserved space stays within the limit, except
     * for one read of each body; bodies that wait are admitted in their order; and once the bodies
     * before it have ended, each body is admitted, so no order can lock up.
     */
    @Test
    void noOrderOfBodiesExceedsTheLimitOrLocksUp() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            admitted.clear();
            List<BodyAdmission.Reservation> open = new ArrayList<>();
            List<Integer> waited = new ArrayList<>();
            for (int step = 0; step < STEPS; step++) {
                if (open.size() < MAX_BODIES && random.nextInt(3) > 0) {
                    var reservation = reserve(step, random.nextInt(MAX_BODY_BYTES));
                    if (!reservation.admitted()) {
                        waited.add(step);
                    }
                    open.add(reservation);
                } else if (!open.isEmpty()) {
                    open.remove(random.nextInt(open.size())).release();
                }
                runTasks();
                assertTrue(
                        budget.bufferedBytes()
                                <= MAX_BYTES + MAX_BODIES * BodyAdmission.FIRST_READ_BYTES,
                        "seed " + seed + ", step " + step);
            }
            List<Integer> admittedLate = new ArrayList<>(admitted);
            admittedLate.retainAll(waited);
            assertEquals(admittedLate.stream().sorted().toList(), admittedLate, "seed " + seed);
            for (var reservation : open) {
                runTasks();
                assertTrue(reservation.admitted(), "seed " + seed + " locks up");
                reservation.release();
            }
            assertEquals(0, budget.bufferedBytes(), "seed " + seed);
        }
    }

    @Test
    void aBodyThatIsGivenUpWhileItWaitsLetsTheNextOneIn() {
        var first = reserve(0, MAX_BYTES - MAX_BODY_BYTES);
        var tooLarge = reserve(1, 3 * MAX_BODY_BYTES);
        var next = reserve(2, MAX_BODY_BYTES / 2);
        assertTrue(first.admitted());
        assertFalse(tooLarge.admitted() || next.admitted());
        tooLarge.release();
        runTasks();
        assertEquals(List.of(0, 2), admitted);
    }

    /** Its bytes have been read with the head, so there is nothing to wait for. */
    @Test
    void aBodyOfOneReadIsAdmittedThoughTheLimitIsExceeded() {
        budget.add(2 * MAX_BYTES);
        assertTrue(reserve(0, BodyAdmission.FIRST_READ_BYTES).admitted());
        assertFalse(reserve(1, BodyAdmission.FIRST_READ_BYTES + 1).admitted());
    }
}
