package passhatch.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Whatever fails how often: a pause stays within its bound, and a success takes it back. */
final class PausesTest {

    @Test
    void growUpToTheirBoundAndStartAnewAfterASuccess() {
        for (long longest : new long[] {0, 100, 400}) {
            for (long seed = 0; seed < 50; seed++) {
                Pauses pauses = new Pauses(longest, seed);
                long most = 0;
                for (int failures = 0; failures < 100; failures++) {
                    long ms = pauses.next();
                    assertTrue(ms >= 25 && ms <= Math.max(50, longest), ms + " of " + longest);
                    most = Math.max(most, ms);
                }
                assertTrue(most > longest / 2, "it does not grow: " + most);
                pauses.reset();
                assertTrue(pauses.next() <= 75, "a success does not take it back");
            }
        }
    }
}
