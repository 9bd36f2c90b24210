package passhatch;

/**
 * What calls to this tier take, as far as their answers tell. Classes differ manyfold, so all figures but
 * {@link #length} are for a usual call: a time counts by the part that is longer or shorter than its class's.
 * Were they mixed, a server that answers a few long calls would look too slow for short ones; and once these
 * are held back, only long ones are left to judge it by.
 */
final class CallTimes {

    /** Weight of the newest value in a running mean. */
    static final double MEAN_WEIGHT = 0.1;
    /** Part of the calls that are quick. */
    private static final double QUICK = 0.3;
    /** What is usual is at most this multiple of what is quick. */
    private static final double USUAL = 2;
    /** Step of the running estimate of what is quick. */
    private static final double QUICK_STEP = 0.05;
    /** Part by which the calm time grows at each answer: what was calm thousands of calls ago may not be. */
    private static final double CALM_GROWTH = 0.0003;

    /** Answers before a mean is trusted to be one: the first to come back are the quickest. */
    private static final int ENOUGH = 20;

    /** Mean time that served calls of each class took, by position; 0 while there was none. */
    private final double[] kindUs;
    private double callUs;
    private double quickUs;
    private double tookUs;
    private double ahead;
    private double meanUs;
    private double calmUs = Double.MAX_VALUE;
    private int answers;

    CallTimes(int classes) {
        kindUs = new double[classes];
    }

    /** How many times as long as a usual call one of this class takes; the mean of all classes is usual. */
    double length(int kind) {
        if (kindUs[kind] == 0) {
            return 1;
        }
        double sumUs = 0;
        int seen = 0;
        for (double us : kindUs) {
            sumUs += us;
            seen += us > 0 ? 1 : 0;
        }
        return kindUs[kind] * seen / sumUs;
    }

    /** Learns from a call that has ended, with so many calls ahead of it, itself included. */
    void add(Attempt attempt, boolean served, long elapsedUs) {
        int kind = attempt.call.request.requestClass();
        if (served) {
            kindUs[kind] += (elapsedUs - kindUs[kind]) * (kindUs[kind] == 0 ? 1 : MEAN_WEIGHT);
        }
        double usualUs = elapsedUs / length(kind);
        tookUs += usualUs - tookUs * MEAN_WEIGHT / 2;
        ahead += attempt.ahead - ahead * MEAN_WEIGHT / 2;
        answers++;
        meanUs += (usualUs - meanUs) * Math.max(1.0 / answers, MEAN_WEIGHT);
        if (answers >= ENOUGH) {
            calmUs = Math.min(calmUs * (1 + CALM_GROWTH), meanUs);
        }
        double each = usualUs / attempt.ahead;
        quickUs = quickUs == 0 ? each : quickUs * (1 + QUICK_STEP * (each < quickUs ? QUICK - 1 : QUICK));
        // A few servers that take seconds must not pass for usual: the mean is capped.
        callUs = Math.min(tookUs / ahead, USUAL * quickUs);
        Backend s = attempt.server;
        s.tookUs += usualUs - s.tookUs * MEAN_WEIGHT;
        s.ahead += attempt.ahead - s.ahead * MEAN_WEIGHT;
    }

    /** Whether there were enough answers to tell what a call takes without a crowd. */
    boolean known() {
        return answers >= ENOUGH;
    }

    /** Time for each call in flight at its server, over all servers; 0 while unknown. */
    double callUs() {
        return callUs;
    }

    /** The time for each call in flight that {@link #QUICK} of the calls stay under. */
    double quickUs() {
        return quickUs;
    }

    /** Lowers what counts as quick, as after a quick answer. */
    void hopeForQuicker() {
        quickUs *= 1 - QUICK_STEP * QUICK;
    }

    /** Running mean of the time that calls took. */
    double meanUs() {
        return meanUs;
    }

    /** The least that the mean was of late, while servers were calm; the greatest value while unknown. */
    double calmUs() {
        return calmUs;
    }

    /** What a call of this class takes while servers are calm; 0 while unknown. */
    double ownUs(int kind) {
        return !known() ? 0 : calmUs * length(kind);
    }
}
