package passhatch.fleet;

/**
 * The local health score of Lifeguard. A high score means that this process cannot reliably judge
 * whether other members respond, so it waits longer before it suspects a member (Dadgar, Phillips,
 * Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017).
 */
final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private int score;

    /** Returns the health score, from 0 (healthy) to 8. */
    int score() {
        return score;
    }

    /** Returns the factor by which probe and suspicion timeouts are multiplied. */
    int timeoutMultiplier() {
        return 1 + score;
    }

    /** Makes the score worse by a number of points. */
    void degrade(int points) {
        score = Math.min(MAX_SCORE, score + points);
    }

    /** Makes the score better by one point. */
    void recover() {
        score = Math.max(0, score - 1);
    }
}
