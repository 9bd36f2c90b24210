package passhatch.lab.load;

import java.util.List;

/** Creates load statistics for tests of the classes that evaluate them. */
public final class LoadStatsFixtures {

    private LoadStatsFixtures() {}

    /**
     * Returns steps by a pattern with one letter per step: s for all requests served, h for half of
     * them, n for none.
     */
    public static List<LoadStats.Step> steps(String pattern, int offered) {
        LoadStats stats = new LoadStats();
        for (int i = 0; i < pattern.length(); i++) {
            int served =
                    switch (pattern.charAt(i)) {
                        case 's' -> offered;
                        case 'h' -> offered / 2;
                        default -> 0;
                    };
            for (int n = 0; n < offered; n++) {
                stats.recordCompletion(
                        (long) i * LoadStats.STEP_MS,
                        n < served ? Outcome.SERVED : Outcome.LOST,
                        1_000);
            }
        }
        return stats.steps();
    }
}
