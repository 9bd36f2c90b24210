package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;

/**
 * What one run of a drill came to; what is written to {@code result.json}.
 *
 * @param counts requests by their outcome, and the counts that rules are about
 * @param latencyMs of the answers from when requests were due, by quantile
 * @param recoveries one for each fault that harms
 * @param behindMs how much later than due requests were sent, by quantile
 * @param broken what was expected and does not hold, in words; empty where all holds
 * @param invalid why the run says nothing, as the machine was too busy; null where it counts
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Result(
        String name,
        long seed,
        double servedShare,
        Map<String, Long> counts,
        Map<String, Double> latencyMs,
        List<Recovery> recoveries,
        Map<String, Double> behindMs,
        Map<String, Double> readyMs,
        List<String> broken,
        String invalid) {

    /**
     * How long a fault was felt.
     *
     * @param ms until the rate of served was back at 95 %; 0 where it never fell under that, null
     *     where it was not back by the next fault or the end
     */
    record Recovery(String fault, long atMs, Long ms) {}

    boolean holds() {
        return broken.isEmpty() && invalid == null;
    }
}
