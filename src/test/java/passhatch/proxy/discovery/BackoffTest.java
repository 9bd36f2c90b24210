package passhatch.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The delay stays within its bound after any number of failures, and a success resets it. */
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
                assertTrue(
                        longestDelayMs > maxDelayMs / 2,
                        "the delay does not grow: " + longestDelayMs);
                backoff.reset();
                assertTrue(backoff.nextDelayMs() <= 75, "a success does not reset the delay");
            }
        }
    }
}
