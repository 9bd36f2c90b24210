package passhatch.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * Checks the fencing tokens in the requests that holders of duties send. A fence keeps the highest
 * token of each duty, writes a new token to disk before it admits the request, and rejects requests
 * with lower tokens. So no request of an earlier holder is executed after a request of a later
 * holder, even if the earlier holder assumes that its lease is still valid.
 */
public final class Fence {

    private final Map<String, Long> highestTokens;
    private final BiPredicate<String, Long> tokenWriter;

    /**
     * Creates a fence from the tokens on its disk.
     *
     * @param highestTokens the highest token of each duty on the disk
     * @param tokenWriter writes a token of a duty and returns true once the token is durable
     */
    public Fence(Map<String, Long> highestTokens, BiPredicate<String, Long> tokenWriter) {
        this.highestTokens = new HashMap<>(highestTokens);
        this.tokenWriter = tokenWriter;
    }

    /**
     * Returns whether a request with this token for a duty may be executed. If the token is the
     * highest of the duty so far, it is first written to disk; the result is false if that fails.
     */
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
