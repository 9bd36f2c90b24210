package passhatch.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * What carries out holders' words: it keeps the highest token of each duty, on disk before it is
 * believed, and refuses a lower one. So nothing older is done after something newer, whatever
 * holders think of their leases.
 */
public final class Fence {

    private final Map<String, Long> highest;
    private final BiPredicate<String, Long> disk;

    /**
     * A fence that starts.
     *
     * @param highest the highest token of each duty that its disk has
     * @param disk has a duty's token on disk for good when it returns true
     */
    public Fence(Map<String, Long> highest, BiPredicate<String, Long> disk) {
        this.highest = new HashMap<>(highest);
        this.disk = disk;
    }

    /** Whether something may be carried out that comes with this token. */
    public boolean admits(String duty, long token) {
        long known = highest.getOrDefault(duty, 0L);
        if (token < known || token < 1) {
            return false;
        }
        if (token > known) {
            if (!disk.test(duty, token)) {
                return false;
            }
            highest.put(duty, token);
        }
        return true;
    }
}
