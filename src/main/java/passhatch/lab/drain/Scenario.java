package passhatch.lab.drain;

import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.lab.Seeds;

/**
 * The settings of one run, drawn by its seed within what the operators' pages allow.
 *
 * @param durationUs length of the run in microseconds
 * @param graceUs how long a server may still be sent requests once a proxy is told that it drains
 * @param askEveryUs for how long a proxy without a watch is held to its list
 * @param deadlineUs of every request
 * @param requestGapUs mean time between two requests
 * @param quietUs nothing is changed and nothing fails before this time
 * @param faultGapUs mean time between two faults, and between two changes of the list
 * @param servers how many there are
 * @param lateUs the longest time by which a watch tells a change late
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
        long lateUs) {

    private static final long SECOND_US = TimeUnit.SECONDS.toMicros(1);

    /** As old as a change was seen to be when a watch ended instead of telling it. */
    private static final long MAX_WATCH_DELAY_US = 2 * SECOND_US;

    static Scenario draw(Seeds seeds) {
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
                random.nextBoolean() ? 0 : random.nextLong(MAX_WATCH_DELAY_US + 1));
    }
}
