package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import passhatch.proxy.ClaimedIds.Claim;

class ClaimedIdsTest {

    @TempDir private Path folder;

    /** Guards against an id that is forgotten before its time, at either of two processes. */
    @Test
    void anIdIsClaimedOnceUntilItsTimeWhicheverProcessAsks() throws IOException {
        Path file = folder.resolve("ids");
        ClaimedIds[] processes = {ClaimedIds.shared(file), ClaimedIds.shared(file)};
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            Map<String, Long> claimedUntil = new HashMap<>();
            long nowUs = seed * 1_000_000L;
            for (int step = 0; step < 2_000; step++) {
                nowUs += random.nextInt(10);
                String id = seed + "-" + random.nextInt(300);
                ClaimedIds process = processes[random.nextInt(2)];
                boolean claimed = claimedUntil.getOrDefault(id, 0L) > nowUs;
                assertEquals(claimed, process.contains(id, nowUs), "seed " + seed);
                if (claimed && random.nextInt(4) == 0) {
                    process.claimUntil(id, nowUs, nowUs);
                    claimedUntil.remove(id);
                } else {
                    long untilUs = nowUs + random.nextInt(2_000);
                    Claim claim = process.claim(id, nowUs, untilUs);
                    assertEquals(claimed ? Claim.CLAIMED_BEFORE : Claim.CLAIMED, claim);
                    claimedUntil.putIfAbsent(id, untilUs);
                    claimedUntil.computeIfPresent(
                            id, (same, until) -> claimed ? until : Long.valueOf(untilUs));
                }
            }
        }
    }

    /** Guards against a full table that forgets an id in favour of another. */
    @Test
    void aFullTableRejectsClaimsAndForgetsNone() {
        ClaimedIds ids = ClaimedIds.ofThisProcess();
        Map<String, Claim> claims = new HashMap<>();
        for (int i = 0; i < 40_000; i++) {
            claims.put("id-" + i, ids.claim("id-" + i, 0, 1));
        }
        assertNotEquals(0, claims.values().stream().filter(c -> c == Claim.FULL).count());
        claims.forEach((id, claim) -> assertEquals(claim == Claim.CLAIMED, ids.contains(id, 0)));
    }
}
