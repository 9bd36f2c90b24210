package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import passhatch.lab.load.LoadPlan;
import passhatch.lab.standin.ServiceTime;

/**
 * The description of a drill, as read from its TOML file. In the file, durations are written like
 * {@code "250ms"}, {@code "5s"} or {@code "2m"}. {@link ScenarioReader} sets the defaults of
 * omitted keys and checks the bounds of all values.
 *
 * @param duration duration of the load
 * @param expect expectations of the result; at least one of them is set
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
     * The proxy processes of a drill.
     *
     * @param retries whether a proxy may send a request up to three times instead of once
     * @param readyTimeout maximum time from the start of a process until it reports ready
     * @param openFiles maximum number of open files and sockets of each process; 0 for the
     *     machine's limit
     * @param asks true if proxies request the server list from discovery; false if discovery pushes
     *     changes of the list to them
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
     * The backends of a drill, which all have the same capacity. {@link
     * passhatch.lab.standin.BackendServer.Capacity} describes the components of this record.
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

    /** A class of requests that clients send. The settings of the proxies define the same class. */
    record RequestClass(
            String name, LoadPlan.Effect effect, double share, Duration aim, Duration deadline) {}

    /**
     * The load that clients generate.
     *
     * @param rate number of requests per second of all classes together
     * @param detect time for which clients continue to send to a proxy after it was killed,
     *     terminated or stopped
     * @param behind maximum for the 99th percentile of the time from when a request is due until it
     *     is sent; above that, the drill is void
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
     * A fault that a drill injects.
     *
     * @param at time from the start of the load until the fault
     * @param duration time until the fault is undone; null if it is not undone
     * @param target names like proxy-1 or backend-2; {@code proxies} or {@code backends} stands for
     *     all of them; empty for faults of discovery and of the network between proxies
     * @param share share of the requests or datagrams that the fault affects
     * @param factor factor by which the service times of a slow backend are multiplied
     * @param by time by which the fault delays messages
     * @param groups names of the proxies in each group of a partition; for a one-way fault, the
     *     first group has the proxies whose datagrams are dropped
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
     * The expectations of the result. A component is null if it is not checked.
     *
     * @param served minimum share of requests that are served
     * @param late maximum number of late requests; the components that are not described here are
     *     maximum numbers as well
     * @param recovery maximum time after any fault until 95 % of the requests are served again
     * @param p99 maximum of the 99th percentile of the latency
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
