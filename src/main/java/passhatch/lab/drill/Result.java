package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;

/**
 * The result of one run of a drill, written to {@code result.json}.
 *
 * @param counts number of requests by outcome, and the counts that rules limit
 * @param latencyMs latency of the responses, measured from when requests were due, by quantile
 * @param recoveries one entry for each step that injects a fault
 * @param behindMs how much later than due requests were sent, by quantile
 * @param readyMs time from each restart of a proxy until it was ready, by proxy and time
 * @param broken a description of each expectation that is not met; empty if all are met
 * @param invalid why the run is void because the machine was too busy; null if the run is valid
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
     * The time of recovery from a fault.
     *
     * @param ms time until the rate of served requests was back at 95 %; 0 if it never fell below
     *     that, null if it was not back by the next fault or the end of the load
     */
    record Recovery(String fault, long atMs, Long ms) {}

    boolean meetsExpectations() {
        return broken.isEmpty() && invalid == null;
    }
}
