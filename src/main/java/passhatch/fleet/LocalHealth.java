package passhatch.fleet;

/**
 * Lifeguard's local health score: the worse it is, the less reliably this process can judge others,
 * and the longer it waits before it suspects them (Dadgar, Phillips, Currey, "Lifeguard: SWIM-ing
 * with Situational Awareness", 2017).
 */
final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private int score;

    /** From 0 (healthy) to 8. */
    int score() {
        return score;
    }

    /** The factor by which timeouts are multiplied. */
    int timeoutMultiplier() {
        return 1 + score;
    }

    void degrade(int by) {
        score = Math.min(MAX_SCORE, score + by);
    }

    void recover() {
        score = Math.max(0, score - 1);
    }
}
