package passhatch.proxy;

/**
 * For how long a connection may be idle and still be used. Backends, or what stands before them, may drop
 * idle connections far sooner than the settings say, and then the next request on one only meets a reset. So
 * uses are counted by how long the connection had been idle: the limit is where those above break so much
 * more often than those below that it is no chance. A backend that breaks connections at any age sets none.
 */
final class IdleLimit {

    /** Under this a connection counts as used without a pause, like a new one; each step doubles it. */
    private static final long FIRST_STEP_US = 10_000;
    private static final int STEPS = 12;
    /**
     * How much likelier, as a logarithm, two rates of breaks must make what was seen than one rate does: by
     * chance this happens at one step in two hundred.
     */
    private static final double EVIDENCE = 4;
    /** One break alone may always be chance. */
    private static final double LEAST_BREAKS = 2;
    /** What was seen counts by half after this long: a limit must be lifted to be seen to have gone. */
    private static final long HALF_LIFE_US = 30_000_000;

    private final long mostUs;
    private final double[] uses = new double[STEPS];
    private final double[] breaks = new double[STEPS];
    private long limitUs;
    private long halvedAtUs = Long.MIN_VALUE;

    /**
     * Nothing seen yet.
     *
     * @param mostUs the limit where nothing speaks for a shorter one
     */
    IdleLimit(long mostUs) {
        this.mostUs = mostUs;
        this.limitUs = mostUs;
    }

    /** The longest that a connection to be used may have been idle. */
    long us() {
        return limitUs;
    }

    /** A connection used after this long, 0 for a new one, brought an answer. */
    void stood(long idleUs) {
        uses[step(idleUs)]++;
    }

    /** One broke with no answer. */
    void broke(long idleUs) {
        int step = step(idleUs);
        uses[step]++;
        breaks[step]++;
        learn();
    }

    /** To be called now and then. */
    void fade(long nowUs) {
        if (halvedAtUs == Long.MIN_VALUE) {
            halvedAtUs = nowUs;
        } else if (nowUs - halvedAtUs >= HALF_LIFE_US) {
            halvedAtUs = nowUs;
            for (int i = 0; i < STEPS; i++) {
                uses[i] /= 2;
                breaks[i] /= 2;
            }
            learn();
        }
    }

    private static int step(long idleUs) {
        int step = 0;
        while (step < STEPS - 1 && idleUs >= FIRST_STEP_US << step) {
            step++;
        }
        return step;
    }

    private void learn() {
        double allUses = 0;
        double allBreaks = 0;
        for (int i = 0; i < STEPS; i++) {
            allUses += uses[i];
            allBreaks += breaks[i];
        }
        limitUs = mostUs;
        double best = EVIDENCE;
        double usesBelow = 0;
        double breaksBelow = 0;
        for (int i = 0; i < STEPS - 1; i++) {
            usesBelow += uses[i];
            breaksBelow += breaks[i];
            double usesAbove = allUses - usesBelow;
            double breaksAbove = allBreaks - breaksBelow;
            double gain = likelihood(usesBelow, breaksBelow) + likelihood(usesAbove, breaksAbove)
                    - likelihood(allUses, allBreaks);
            if (gain > best && breaksAbove >= LEAST_BREAKS
                    && breaksAbove * usesBelow > breaksBelow * usesAbove) {
                best = gain;
                limitUs = Math.min(mostUs, FIRST_STEP_US << i);
            }
        }
    }

    /** The logarithm of how likely so many breaks among so many uses are, at the rate that fits them best. */
    private static double likelihood(double of, double broken) {
        return times(broken, broken / of) + times(of - broken, 1 - broken / of);
    }

    private static double times(double count, double share) {
        return count > 0 && share > 0 ? count * Math.log(share) : 0;
    }
}
