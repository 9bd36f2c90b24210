package passhatch.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.lab.Seeds;
import passhatch.lab.drill.ProxyProcess;
import passhatch.lab.standin.DiscoveryServer;

/**
 * Measures the resources that a proxy uses. Each length of the list of backends is measured with a
 * new proxy process, one after the other. No requests are sent, so nothing needs to listen on the
 * addresses in the list.
 */
final class ProxyMeasurement {

    private static final long SETTLE_TIME_MS = 5_000;
    private static final int LISTED_PORT = 9;
    private static final int HOSTS_PER_NETWORK = 250;

    private final ScaleOptions options;
    private final Path folder;
    private final int memoryMb;
    private final List<String> failures = new ArrayList<>();

    ProxyMeasurement(ScaleOptions options, Path folder, int memoryMb) {
        this.options = options;
        this.folder = folder;
        this.memoryMb = memoryMb;
    }

    /** Returns descriptions of the failures so far. */
    List<String> failures() {
        return failures;
    }

    /**
     * Measures a proxy whose list has the given number of entries, at one rate of changes after the
     * other. If the proxy fails, the remaining rates are skipped.
     */
    List<ProxyResult.Point> measure(
            int entries, List<Integer> rates, ScaleOptions.Progress progress)
            throws InterruptedException {
        List<ProxyResult.Point> points = new ArrayList<>();
        var group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("discovery", true), NioIoHandler.newFactory());
        try (ProxyTestbed testbed =
                new ProxyTestbed(
                        options.programJar(),
                        folder,
                        options.seed(),
                        memoryMb,
                        options.jvmOptions())) {
            EventLoop loop = group.next();
            DiscoveryServer discovery = new DiscoveryServer(loop);
            discovery.start();
            discovery.update(createServingEntries(entries));
            ProxyProcess proxy = testbed.start("entries-" + entries, discovery.address());
            Thread.sleep(SETTLE_TIME_MS);
            long firstListBytes = discovery.sentBytes();
            for (int rate : rates) {
                points.add(measureStep(proxy, discovery, entries, rate, firstListBytes));
                progress.step(entries + " entries, " + rate + " changes/s");
            }
        } catch (IOException failure) {
            failures.add(entries + " entries: " + failure.getMessage());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
        return points;
    }

    private ProxyResult.Point measureStep(
            ProxyProcess proxy,
            DiscoveryServer discovery,
            int entries,
            int rate,
            long firstListBytes)
            throws IOException, InterruptedException {
        UniformRandomProvider random =
                new Seeds(options.seed()).stream("changes-" + entries + "-" + rate);
        boolean[] draining = new boolean[entries];
        int changes = rate * options.seconds();
        long pid = proxy.process().pid();
        ProcessUsage before = ProcessUsage.read(pid);
        long bytesBefore = discovery.sentBytes();
        long startNs = System.nanoTime();
        for (int i = 0; i < changes; i++) {
            sleepUntil(startNs + TimeUnit.SECONDS.toNanos(1) * i / rate);
            int entry = random.nextInt(entries);
            draining[entry] = !draining[entry];
            discovery.update(List.of(createEntry(entry, draining[entry] ? "DRAINING" : "SERVING")));
        }
        sleepUntil(startNs + TimeUnit.SECONDS.toNanos(options.seconds()));
        if (!proxy.process().isAlive()) {
            throw new IOException("ended at " + rate + " changes/s:\n" + proxy.process().logTail());
        }
        ProcessUsage after = ProcessUsage.read(pid);
        double seconds = (System.nanoTime() - startNs) / 1e9;
        return new ProxyResult.Point(
                entries,
                rate,
                changes,
                firstListBytes,
                after,
                (after.processorSeconds() - before.processorSeconds()) / seconds,
                (discovery.sentBytes() - bytesBefore) / seconds);
    }

    private static void sleepUntil(long endNs) throws InterruptedException {
        long remainingNs = endNs - System.nanoTime();
        if (remainingNs > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNs);
        }
    }

    private static List<DiscoveryServer.Endpoint> createServingEntries(int count)
            throws IOException {
        List<DiscoveryServer.Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(createEntry(i, "SERVING"));
        }
        return entries;
    }

    private static DiscoveryServer.Endpoint createEntry(int number, String status)
            throws IOException {
        byte[] address = {
            127, 1, (byte) (number / HOSTS_PER_NETWORK), (byte) (number % HOSTS_PER_NETWORK + 1)
        };
        return new DiscoveryServer.Endpoint(
                "backend-" + number,
                new InetSocketAddress(InetAddress.getByAddress(address), LISTED_PORT),
                status,
                0);
    }
}
