package passhatch.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Whatever fails how often: a pause stays within its bound, and a success takes it back. */
final class BackoffTest {

    @Test
    void delaysGrowUpToTheirBoundAndResetAfterASuccess() {
        for (long maxDelayMs : new long[] {0, 100, 400}) {
            for (long seed = 0; seed < 50; seed++) {
                Backoff backoff = new Backoff(maxDelayMs, seed);
                long longestDelayMs = 0;
                for (int failures = 0; failures < 100; failures++) {
                    long delayMs = backoff.nextDelayMs();
                    assertTrue(
                            delayMs >= 25 && delayMs <= Math.max(50, maxDelayMs),
                            delayMs + " of " + maxDelayMs);
                    longestDelayMs = Math.max(longestDelayMs, delayMs);
                }
                assertTrue(longestDelayMs > maxDelayMs / 2, "it does not grow: " + longestDelayMs);
                backoff.reset();
                assertTrue(backoff.nextDelayMs() <= 75, "a success does not take it back");
            }
        }
    }
}
