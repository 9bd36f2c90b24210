package passhatch.lab.drain;

import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.lab.Seeds;

/**
 * The settings of one run, drawn from its seed within the limits of the specification.
 *
 * @param durationUs length of the run in microseconds
 * @param graceUs how long a proxy may still send requests to a server after it is deemed notified
 *     that the server drains
 * @param askEveryUs how long a proxy without a watch may use its list
 * @param deadlineUs time from a request's start to its deadline
 * @param requestGapUs mean time between two requests
 * @param quietUs time from the start of the run to the first change and the first fault
 * @param faultGapUs mean time between two faults, and between two changes of the list
 * @param servers number of servers
 * @param lateUs maximum time from a change of the list until discovery writes the change on a watch
 * @param pushed whether lists are pushed to the proxy; otherwise it must ask for them
 */
record Scenario(
        long durationUs,
        long graceUs,
        long askEveryUs,
        long deadlineUs,
        long requestGapUs,
        long quietUs,
        long faultGapUs,
        int servers,
        long lateUs,
        boolean pushed) {

    private static final long SECOND_US = TimeUnit.SECONDS.toMicros(1);

    /**
     * Maximum time from a change of the list until discovery writes the change on a watch. One
     * recorded watch ended when such a change was this old and not yet written.
     */
    private static final long MAX_WATCH_DELAY_US = 2 * SECOND_US;

    /**
     * Draws the settings of a run. Pushed changes are written on a watch at once: how late a change
     * reaches the agent that pushes it is before the time of the change.
     */
    static Scenario draw(Seeds seeds, boolean pushed) {
        UniformRandomProvider random = seeds.stream("scenario");
        return new Scenario(
                40 * SECOND_US,
                random.nextLong(300_000, 2_000_001),
                random.nextInt(4) == 0
                        ? random.nextLong(SECOND_US, 6 * SECOND_US)
                        : random.nextLong(6 * SECOND_US, 20 * SECOND_US),
                random.nextLong(150_000, 2 * SECOND_US),
                random.nextLong(20_000, 60_000),
                random.nextInt(4) == 0 ? random.nextLong(15 * SECOND_US) : SECOND_US,
                random.nextLong(SECOND_US, 5 * SECOND_US),
                random.nextInt(3, 7),
                pushed || random.nextBoolean() ? 0 : random.nextLong(MAX_WATCH_DELAY_US + 1),
                pushed);
    }
}
