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

    private final Map<String, Long> highestTokens;
    private final BiPredicate<String, Long> tokenWriter;

    /**
     * Creates a fence from what its disk holds.
     *
     * @param highestTokens the highest token of each duty on its disk
     * @param tokenWriter writes a duty's token and returns true once it is durable
     */
    public Fence(Map<String, Long> highestTokens, BiPredicate<String, Long> tokenWriter) {
        this.highestTokens = new HashMap<>(highestTokens);
        this.tokenWriter = tokenWriter;
    }

    /** Returns whether a request with this token may be executed. */
    public boolean admits(String duty, long token) {
        long known = highestTokens.getOrDefault(duty, 0L);
        if (token < known || token < 1) {
            return false;
        }
        if (token > known) {
            if (!tokenWriter.test(duty, token)) {
                return false;
            }
            highestTokens.put(duty, token);
        }
        return true;
    }
}
