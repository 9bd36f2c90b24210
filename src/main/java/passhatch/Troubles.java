package passhatch;

import passhatch.Balancer.Outcome;

/** How often calls go wrong at all servers together, so that one is not judged by what all of them do. */
final class Troubles {

    /** Weight of the newest outcome in what failed connections are of all. */
    private static final double CUT_WEIGHT = 0.2;
    /** Weight of the newest outcome in the shares of errors and of breaks. */
    private static final double WEIGHT = 0.04;
    /** Share of failed connections above which connected servers come first: one failure counts for ten. */
    private static final double CUT = 0.02;
    /** Failures in a row that come about less often than this where all servers fail alike are no chance. */
    private static final double CHANCE = 0.001;
    /** A share of breaks above this counts as this: ten failures in a row always tell. */
    private static final double MOST_BREAKS = 0.5;

    private double errors;
    private double breaks;
    private double cut;

    /** What a call has ended with. */
    void heard(Outcome outcome) {
        boolean answered = outcome == Outcome.OK || outcome == Outcome.ERROR;
        if (answered) {
            errors += WEIGHT * ((outcome == Outcome.ERROR ? 1 : 0) - errors);
        }
        if (answered || outcome == Outcome.RESET) {
            breaks += WEIGHT * ((outcome == Outcome.RESET ? 1 : 0) - breaks);
        }
        cut += CUT_WEIGHT * ((outcome == Outcome.CONNECT_FAILED ? 1 : 0) - cut);
    }

    /** The share of errors among all latest answers. */
    double errors() {
        return errors;
    }

    /** Whether connections fail, or just did. */
    boolean cut() {
        return cut > CUT;
    }

    /**
     * How many failures in a row tell that it is the server: the more connections break at all of them, the
     * more often some do in a row at each by chance.
     *
     * @param least where they break seldom
     */
    int failuresThatTell(int least) {
        if (breaks < CHANCE) {
            return least;
        }
        double inARow = Math.log(CHANCE) / Math.log(Math.min(breaks, MOST_BREAKS));
        return Math.max(least, (int) Math.ceil(inARow));
    }
}
