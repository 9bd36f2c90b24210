package passhatch.lab.load;

import java.util.List;

/** Tallies for the tests of what judges them. */
public final class TallyOf {

    private TallyOf() {}

    /** A letter a step: s all served, h half of them, n none. */
    public static List<Tally.Step> steps(String steps, int offered) {
        Tally tally = new Tally();
        for (int i = 0; i < steps.length(); i++) {
            int served =
                    switch (steps.charAt(i)) {
                        case 's' -> offered;
                        case 'h' -> offered / 2;
                        default -> 0;
                    };
            for (int n = 0; n < offered; n++) {
                tally.ended(
                        (long) i * Tally.STEP_MS,
                        n < served ? Outcome.SERVED : Outcome.LOST,
                        1_000);
            }
        }
        return tally.steps();
    }
}
