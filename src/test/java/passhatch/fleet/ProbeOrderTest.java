package passhatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Each address is returned once, and all orders are about equally likely. */
class ProbeOrderTest {

    private static List<Integer> round(int addresses, SplittableRandom random) {
        ProbeOrder order = new ProbeOrder(addresses, random);
        List<Integer> round = new ArrayList<>();
        for (int address = order.next(); address >= 0; address = order.next()) {
            round.add(address);
        }
        return round;
    }

    @Test
    void everyAddressIsReturnedOnce() {
        SplittableRandom random = new SplittableRandom(1);
        for (int addresses : new int[] {0, 1, 2, 3, 16, 17, 255, 256, 257, 19_000}) {
            assertEquals(
                    IntStream.range(0, addresses).boxed().toList(),
                    round(addresses, random).stream().sorted().toList());
        }
    }

    @Test
    void ordersOfFourAddressesAreAboutEquallyLikely() {
        SplittableRandom random = new SplittableRandom(2);
        Map<List<Integer>, Integer> seen = new HashMap<>();
        int rounds = 24_000;
        for (int i = 0; i < rounds; i++) {
            seen.merge(round(4, random), 1, Integer::sum);
        }
        assertEquals(24, seen.size());
        // 1,000 expected of each; 150 is nearly five standard deviations.
        assertTrue(seen.values().stream().allMatch(n -> Math.abs(n - 1_000) < 150), seen::toString);
    }
}
