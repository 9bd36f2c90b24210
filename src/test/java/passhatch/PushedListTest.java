package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.ListFreshness;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** The use of pushed lists while no watch is open. */
final class PushedListTest {

    private static final long WATCH_TIMEOUT_MS = 3_000;
    private static final long GRACE_MS = 500;
    private static final long MAX_STALL_MS = 150;
    private static final long ASK_INTERVAL_MS = 8_000;
    private static final Rules RULES = new Rules(GRACE_MS * MS, ASK_INTERVAL_MS * MS, 1, 0, 2, 0);

    /**
     * Guards against review/9: a pushed list that was used for 6 s after its watch had ended, while
     * a server drained. Holds for any order of messages, lost watches, stalls and address changes.
     */
    @Test
    void aPushedListIsUsedOnlyWhileItsWatchIsOpenOrUntilTheGraceHasPassed() {
        int usedWithoutWatch = 0;
        for (long seed = 0; seed < 500; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ListLease lease = ListLease.of(RULES, false);
            long now = 1_000_000 * MS;
            lease.startFromRememberedList(now);
            long current = Long.MIN_VALUE;
            long watchedUntil = Long.MIN_VALUE;
            for (int step = 0; step < 200; step++) {
                now += random.nextLong(1, 400) * MS;
                switch (random.nextInt(8)) {
                    case 0, 1 -> {
                        long asOf = now - random.nextLong(2_000) * MS;
                        watchedUntil = random.nextBoolean() ? asOf : now + WATCH_TIMEOUT_MS * MS;
                        lease.confirm(new ListFreshness(asOf, watchedUntil));
                        current = Math.max(current, asOf);
                    }
                    case 2 -> {
                        lease.watchLost(now);
                        watchedUntil = Long.MIN_VALUE;
                    }
                    case 3 -> {
                        lease.addressChanged(now - random.nextLong(100) * MS, now);
                        watchedUntil = Long.MIN_VALUE;
                    }
                    case 4 -> lease.discoveryReached();
                    case 5 -> lease.markPending(now);
                    default -> {}
                }
                boolean watched = now < watchedUntil;
                boolean inGrace =
                        current != Long.MIN_VALUE
                                && now + MAX_STALL_MS * MS < current + GRACE_MS * MS;
                boolean usable = lease.usable(now);
                assertFalse(usable && !watched && !inGrace, "seed " + seed);
                usedWithoutWatch += usable && !watched ? 1 : 0;
            }
        }
        assertTrue(usedWithoutWatch > 0, "the grace was never used");
    }

    /** A request that waits for the list when its watch is lost, and a repeat after that. */
    @Test
    void requestsThatWaitWhileAPushedListIsOutOfUseGoOnlyToServersOfTheNextList() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        proxy.balancer.listCurrent(
                proxy.nowUs, new ListFreshness(proxy.nowUs, proxy.nowUs + WATCH_TIMEOUT_MS * MS));
        proxy.advance(GRACE_MS);
        String repeated = proxy.request(Proxy.SAFE);
        String first = proxy.lastServerOf(repeated);
        assertNotNull(first);
        proxy.balancer.discoveryFailed(proxy.nowUs);
        assertFalse(proxy.balancer.mayReach(proxy.nowUs, "a"), "decided before, written after");
        proxy.endAttempt(repeated, Outcome.CONNECT_FAILED);
        String waiting = proxy.request(Proxy.SAFE);
        proxy.advance(50);
        assertEquals(1, proxy.sentTo.get(repeated).size(), "repeated without a list");
        assertNull(proxy.lastServerOf(waiting));
        String other = first.equals("a") ? "b" : "a";
        proxy.balancer.serversChanged(
                proxy.nowUs,
                ListKind.CHANGES,
                List.of(new Server(first, 0, 0, 0, ServerStatus.DRAINING)),
                new ListFreshness(proxy.nowUs, proxy.nowUs + WATCH_TIMEOUT_MS * MS));
        assertEquals(other, proxy.lastServerOf(waiting));
        assertEquals(other, proxy.lastServerOf(repeated));
        assertFalse(proxy.balancer.mayReach(proxy.nowUs, first));
        assertTrue(proxy.balancer.mayReach(proxy.nowUs, other));
    }
}
