package passhatch.fleet;

/**
 * How far this process is to be trusted in what it says of others: the worse, the longer it waits
 * before it accuses (Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: SWIM-ing with Situational
 * Awareness", 2017).
 */
final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private int score;

    /** From 0, all is well, to 8. */
    int score() {
        return score;
    }

    /** What waiting times are multiplied by. */
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
