package passhatch.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * Checks the fencing tokens that come with the requests of holders. It keeps the highest token of
 * each duty, writes it to disk before it accepts it, and rejects lower ones. So no request of an
 * earlier holder is executed after one of a later holder, whatever holders assume about their
 * leases.
 */
public final class Fence {

    private final Map<String, Long> highest;
    private final BiPredicate<String, Long> disk;

    /**
     * Creates a fence from what its disk holds.
     *
     * @param highest the highest token of each duty on its disk
     * @param disk writes a duty's token and returns true once it is durable
     */
    public Fence(Map<String, Long> highest, BiPredicate<String, Long> disk) {
        this.highest = new HashMap<>(highest);
        this.disk = disk;
    }

    /** Returns whether a request with this token may be executed. */
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
