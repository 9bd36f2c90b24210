package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import passhatch.lab.load.LoadPlan;
import passhatch.lab.standin.ServiceTime;

/**
 * A drill as described by its TOML file. Durations are written like {@code "250ms"}, {@code "5s"}
 * or {@code "2m"}. {@link ScenarioReader} fills in the defaults of omitted keys and checks the
 * bounds of all values.
 *
 * @param duration how long the load lasts
 * @param expect the expected results; at least one is set
 */
record Scenario(
        String name,
        String about,
        long seed,
        Duration duration,
        Proxies proxies,
        Backends backends,
        List<RequestClass> classes,
        LoadShape load,
        List<Fault> faults,
        Expectations expect) {

    /**
     * The proxy processes of the program.
     *
     * @param retries whether a proxy may send a request up to three times instead of once
     * @param readyTimeout maximum time from the start of a process until it reports ready
     * @param openFiles limit of open files and sockets for each process; 0 for the machine's limit
     * @param asks whether proxies request changes from discovery instead of having them pushed
     */
    record Proxies(
            int count,
            @JsonProperty("memory_mb") int memoryMb,
            int sockets,
            boolean retries,
            @JsonProperty("ready_within") Duration readyTimeout,
            @JsonProperty("open_files") int openFiles,
            boolean asks) {}

    /**
     * The backends, which all have the same shape; see {@link
     * passhatch.lab.standin.BackendServer.Capacity}.
     */
    record Backends(
            int count,
            int cores,
            int slots,
            int queue,
            int connections,
            ServiceTimes service,
            @JsonProperty("cold_share") double coldShare,
            @JsonProperty("cold_for") Duration coldDuration) {}

    /** The distribution of a backend's service times. */
    record ServiceTimes(ServiceTime.Distribution distribution, Duration mean, double sigma) {}

    /** A request class, used in the proxies' settings and for the requests that clients send. */
    record RequestClass(
            String name, LoadPlan.Effect effect, double share, Duration aim, Duration deadline) {}

    /**
     * The load that clients generate.
     *
     * @param rate requests per second, all classes together
     * @param detect how long clients keep sending to a process after it was killed, terminated or
     *     stopped
     * @param behind bound on the send delay; the drill is void if the 99th percentile of the delay
     *     between due time and sending exceeds it
     */
    record LoadShape(
            double rate,
            Arrivals arrivals,
            int connections,
            int retries,
            Duration detect,
            int threads,
            Duration behind) {}

    /** The distribution of the times between requests. */
    enum Arrivals {
        POISSON,
        EVEN
    }

    /**
     * A fault.
     *
     * @param at time after the start of the load
     * @param duration time until the fault is undone; null if it is not undone
     * @param target names like proxy-1 or backend-2; proxies or backends for all of them; empty for
     *     faults of discovery and of the network between peers
     * @param share the share of requests or datagrams that are affected
     * @param factor multiplies the service times of a slow backend
     * @param by the delay of late messages
     * @param groups for a partition: names of proxies that still reach each other
     */
    record Fault(
            Duration at,
            @JsonProperty("do") FaultType type,
            @JsonProperty("for") Duration duration,
            List<String> target,
            double share,
            double factor,
            Duration by,
            List<List<String>> groups) {}

    /**
     * The expected results; a component is null if it is not checked.
     *
     * @param served minimum share of requests that are served
     * @param late maximum number of requests with this outcome, as for the other counts
     * @param recovery maximum time after any fault until 95 % of the requests are served again
     * @param p99 maximum 99th percentile of the latency
     */
    record Expectations(
            Double served,
            Long late,
            Long refused,
            Long failed,
            Long cut,
            Long lost,
            Long spoilt,
            Long duplicates,
            @JsonProperty("too_often") Long tooOften,
            @JsonProperty("after_drain") Long afterDrain,
            Duration recovery,
            Duration p99) {}
}
