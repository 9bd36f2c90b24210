package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import passhatch.lab.load.LoadPlan;
import passhatch.lab.standin.ServiceTime;

/**
 * A drill as its file describes it. Times are written like {@code "250ms"}, {@code "5s"} or {@code
 * "2m"}; what a file leaves out has the value that {@link ScenarioReader} gives it. Values are in
 * their bounds once read.
 *
 * @param duration how long load is given
 * @param expect what must hold at the end; at least one thing
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
     * The processes of the program.
     *
     * @param retries whether they may send a request a second and a third time
     * @param readyTimeout of a start, until it says that it is ready
     * @param openFiles files and sockets that the system lets each hold; 0 for as many as the
     *     machine does
     * @param asks whether they have to ask discovery for changes, or have these pushed to them
     */
    record Proxies(
            int count,
            @JsonProperty("memory_mb") int memoryMb,
            int sockets,
            boolean retries,
            @JsonProperty("ready_within") Duration readyTimeout,
            @JsonProperty("open_files") int openFiles,
            boolean asks) {}

    /** The backends, all alike; see {@link passhatch.lab.standin.BackendServer.Capacity}. */
    record Backends(
            int count,
            int cores,
            int slots,
            int queue,
            int connections,
            ServiceTimes service,
            @JsonProperty("cold_share") double coldShare,
            @JsonProperty("cold_for") Duration coldDuration) {}

    /** The times that a backend takes. */
    record ServiceTimes(ServiceTime.Distribution distribution, Duration mean, double sigma) {}

    /** A class of requests, as the settings tell it and as clients send it. */
    record RequestClass(
            String name, LoadPlan.Effect effect, double share, Duration aim, Duration deadline) {}

    /**
     * The clients.
     *
     * @param rate requests a second over all
     * @param detect how long the front goes on sending to a process that has died or is held
     * @param behind the drill is void where a hundredth of the requests went out later than this
     */
    record LoadShape(
            double rate,
            Arrivals arrivals,
            int connections,
            int retries,
            Duration detect,
            int threads,
            Duration behind) {}

    /** When requests come. */
    enum Arrivals {
        POISSON,
        EVEN
    }

    /**
     * A fault.
     *
     * @param at after the load's begin
     * @param duration until it is undone; null where it stays
     * @param target names as proxy-1, backend-2, discovery, or proxies, backends for all of them
     * @param share of requests or datagrams that it happens to
     * @param factor on a backend's times
     * @param by how late
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
     * What must hold; null where it is not asked for.
     *
     * @param served least share of the requests
     * @param late and the others, most requests that may end so
     * @param recovery most time after any fault until the rate of served is back at 95 %
     * @param p99 of the latency
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
