package passhatch.lab.drain;

import java.util.HashMap;
import java.util.Map;
import passhatch.Balancer.Outcome;

/** The servers in simulated time. A draining server may go on accepting requests for a while. */
final class Servers {

    private final Map<String, Long> acceptsUntilUs = new HashMap<>();
    private final Map<String, Boolean> running = new HashMap<>();

    void start(String server) {
        running.put(server, true);
        acceptsUntilUs.remove(server);
    }

    void drain(String server, long acceptsUntilUs) {
        this.acceptsUntilUs.put(server, acceptsUntilUs);
    }

    void stop(String server) {
        running.put(server, false);
    }

    /** Returns the outcome of a request that is sent to a server now. */
    Outcome handleRequest(String server, long nowUs) {
        if (!running.getOrDefault(server, false)) {
            return Outcome.CONNECT_FAILED;
        }
        return nowUs < acceptsUntilUs.getOrDefault(server, Long.MAX_VALUE)
                ? Outcome.OK
                : Outcome.FULL;
    }
}
