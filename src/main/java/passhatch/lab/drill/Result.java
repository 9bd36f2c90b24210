package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;

/**
 * The result of one run of a drill, written to {@code result.json}.
 *
 * @param servedShare share of the offered requests that were served
 * @param counts number of requests by outcome, and further counts, such as offered requests,
 *     attempts and duplicates
 * @param latencyMs time from when a request was due until its response, by quantile
 * @param recoveries the recovery after each step that injects a fault
 * @param behindMs time from when a request was due until it was sent, by quantile
 * @param readyMs time from each restart of a proxy until it was ready, by name of the proxy and
 *     time of the event
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
     * The recovery from a fault.
     *
     * @param fault type and target of the fault
     * @param atMs time of the fault after the start of the load
     * @param ms time until at least 95 % of the requests were served again; 0 if the share never
     *     fell below that, null if the share was still lower at the next fault or at the end of the
     *     load
     */
    record Recovery(String fault, long atMs, Long ms) {}

    boolean meetsExpectations() {
        return broken.isEmpty() && invalid == null;
    }
}
