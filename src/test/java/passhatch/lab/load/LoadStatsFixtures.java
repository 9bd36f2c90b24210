package passhatch.lab.load;

import java.util.List;

/** Tallies for the tests of what judges them. */
public final class LoadStatsFixtures {

    private LoadStatsFixtures() {}

    /** A letter a step: s all served, h half of them, n none. */
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
