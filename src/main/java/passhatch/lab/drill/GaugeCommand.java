package passhatch.lab.drill;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import passhatch.lab.Seeds;
import passhatch.lab.load.LoadGenerator;
import passhatch.lab.load.LoadPlan;
import passhatch.lab.load.LoadStats;
import passhatch.lab.load.Outcome;
import passhatch.lab.load.ProxyPool;
import passhatch.lab.standin.BackendServer;
import passhatch.lab.standin.RequestLedger;
import passhatch.lab.standin.ServiceTime;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Measures whether the load generator can produce a given load. Requests go directly to stand-in
 * backends, without a proxy. A drill should not use a higher load than the load generator can
 * produce.
 */
@Command(
        name = "gauge",
        mixinStandardHelpOptions = true,
        description = "Measures the load generator against stand-in backends, without a proxy.")
final class GaugeCommand implements Callable<Integer> {

    private static final long SERVICE_TIME_US = 200;
    private static final double WARM_UP_REQUESTS_PER_SECOND = 2_000;
    private static final int CONNECTIONS = 256;

    @Spec private CommandSpec spec;

    @Option(
            names = "--rate",
            defaultValue = "20000",
            description = "Requests per second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(
            names = "--seconds",
            defaultValue = "5",
            description = "Duration in seconds (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--threads",
            defaultValue = "2",
            description = "Threads of the load generator, and of the stand-ins.")
    private int threads;

    @Override
    public Integer call() throws IOException, InterruptedException {
        var eventLoops =
                new MultiThreadIoEventLoopGroup(
                        threads,
                        new DefaultThreadFactory("stand-in", true),
                        NioIoHandler.newFactory());
        RequestLedger ledger = new RequestLedger();
        Seeds seeds = new Seeds(1);
        var capacity =
                new BackendServer.Capacity(
                        CONNECTIONS,
                        CONNECTIONS,
                        1 << 16,
                        1 << 12,
                        new ServiceTime(ServiceTime.Distribution.CONSTANT, SERVICE_TIME_US, 0),
                        1,
                        0);
        List<BackendServer> backends =
                java.util.stream.IntStream.range(0, threads)
                        .mapToObj(
                                i ->
                                        new BackendServer(
                                                "backend-" + i,
                                                capacity,
                                                eventLoops.next(),
                                                ledger,
                                                seeds.stream("b" + i)))
                        .toList();
        for (BackendServer backend : backends) {
            backend.start();
        }
        ProxyPool proxyPool = new ProxyPool(backends.stream().map(BackendServer::address).toList());
        backends.forEach(b -> proxyPool.setAdmitted(backends.indexOf(b), true));
        try {
            // A JVM that has just started is slow, so a warm-up run comes before the measurement.
            runLoad(WARM_UP_REQUESTS_PER_SECOND, 3, proxyPool, seeds);
            LoadStats loadStats = runLoad(rate, seconds, proxyPool, seeds);
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%d offered in %d s, %d served, latency median %.2f ms, p99 %.2f ms;"
                                    + " sent later than due: median %.2f ms, p99 %.2f ms%n",
                            loadStats.offered(),
                            seconds,
                            loadStats.count(Outcome.SERVED),
                            loadStats.latencyUs().getValueAtPercentile(50) / 1e3,
                            loadStats.latencyUs().getValueAtPercentile(99) / 1e3,
                            loadStats.sendDelayUs().getValueAtPercentile(50) / 1e3,
                            loadStats.sendDelayUs().getValueAtPercentile(99) / 1e3);
            return loadStats.count(Outcome.SERVED) == loadStats.offered() ? 0 : 1;
        } finally {
            backends.forEach(BackendServer::close);
            eventLoops.shutdownGracefully();
        }
    }

    private LoadStats runLoad(
            double requestsPerSecond, int durationSeconds, ProxyPool proxyPool, Seeds seeds)
            throws InterruptedException {
        LoadPlan plan =
                new LoadPlan(
                        requestsPerSecond,
                        false,
                        durationSeconds * 1_000L,
                        0,
                        CONNECTIONS,
                        threads,
                        List.of(
                                new LoadPlan.RequestClass(
                                        "look", LoadPlan.Effect.SAFE, 1, 1_000_000)));
        try (LoadGenerator load = new LoadGenerator(plan, proxyPool, seeds)) {
            load.start(System.nanoTime());
            return load.await();
        }
    }
}
