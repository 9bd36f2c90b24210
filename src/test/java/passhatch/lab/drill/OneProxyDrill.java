package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import passhatch.lab.Seeds;
import passhatch.lab.load.ProxyPool;
import passhatch.lab.standin.BackendServer;
import passhatch.lab.standin.DiscoveryServer;

/** Runs one real proxy process of the packaged program with stand-ins that fail on demand. */
abstract class OneProxyDrill {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();
    private static final long TIMEOUT_MS = 20_000;

    /** How long requests are sent past the grace; a violation would show many times. */
    static final long BEYOND_GRACE_MS = 2_500;

    private static final long REQUEST_INTERVAL_MS = 15;

    @TempDir private Path folder;
    private final String scenarioText;
    private final HttpClient http = HttpClient.newHttpClient();
    private final AtomicInteger lastRequestId = new AtomicInteger();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private EventFile events;
    private FaultRunner faults;
    Testbed testbed;
    ProxyProcess proxy;

    /**
     * @param proxies further keys of the scenario's proxies, in TOML
     * @param backends the number of backends
     */
    OneProxyDrill(String proxies, int backends) {
        this.scenarioText =
                """
                name = "one-proxy"
                duration = "1h"
                proxies = {count = 1, %s}
                backends = {count = %d, service = {distribution = "constant", mean = "4ms"}}
                classes = [{name = "look", effect = "safe", share = 1.0, aim = "300ms", deadline = "900ms"}]
                expect = {lost = 0}
                """
                        .formatted(proxies, backends);
    }

    @BeforeEach
    void start() throws Exception {
        Scenario scenario = ScenarioReader.read("faults", scenarioText);
        testbed = new Testbed(scenario, new Seeds(1), JAR, folder, List.of());
        testbed.startProxies(TIMEOUT_MS);
        proxy = testbed.proxies.get(0);
        events = new EventFile(folder.resolve("events.jsonl"));
        faults =
                new FaultRunner(
                        scenario,
                        testbed,
                        new ProxyPool(List.of(proxy.listenAddress())),
                        events,
                        timer);
    }

    @AfterEach
    void end() throws IOException {
        timer.shutdownNow();
        testbed.close();
        events.close();
        assertFalse(proxy.process().isAlive(), "a process was left behind");
    }

    void injectFault(String text) {
        String scenarioWithFault =
                scenarioText.replace("expect =", "faults = [{at = '0s', " + text + "}]\nexpect =");
        FaultPlan.stepsOf(ScenarioReader.read("faults", scenarioWithFault))
                .forEach(faults::runStep);
        assertTrue(
                events.events().stream().noneMatch(e -> e.type().equals("fault-failed")),
                () -> "" + events.events());
    }

    /**
     * Sends a request with its class's deadline and returns the status, or 0 without a response.
     */
    int requestStatus() {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + LocalNetwork.format(proxy.listenAddress())
                                                + "/look"))
                        .header("X-Request-Id", "r" + lastRequestId.incrementAndGet())
                        .timeout(Duration.ofSeconds(3))
                        .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException none) {
            return 0;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    void await(String awaited, BooleanSupplier condition) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() < endNs,
                    () ->
                            "timed out waiting for: "
                                    + awaited
                                    + "; the proxy's log:\n"
                                    + proxy.process().logTail());
            Thread.sleep(10);
        }
    }

    /** Changes discovery's address and notifies the proxy by SIGHUP. */
    void changeDiscoveryAddress() throws IOException, InterruptedException {
        proxy.changeDiscoveryAddress(testbed.discovery.changeAddress());
    }

    int listedHosts() {
        return proxy.ask("vars")
                .lines()
                .filter(l -> l.contains("hosts_listed"))
                .map(l -> Integer.parseInt(l.substring(l.lastIndexOf(' ') + 1)))
                .findFirst()
                .orElse(-1);
    }

    /** Publishes the status of a name at the first backend's address through discovery. */
    void publishStatus(String name, String status) {
        testbed.discovery.update(
                List.of(
                        new DiscoveryServer.Endpoint(
                                name, testbed.backends.get(0).address(), status, 0)));
    }

    /**
     * Drains the first backend, which goes on accepting requests, and publishes that through
     * discovery; the proxy gets no other notice.
     *
     * @param deemedNotifiedMs time from the drain until the proxy is deemed notified of it
     */
    void drainFirstBackendAccepting(long deemedNotifiedMs) {
        BackendServer draining = testbed.backends.get(0);
        draining.drainWhileAccepting(deemedNotifiedMs);
        publishStatus(draining.name(), "DRAINING");
    }

    /** Sends requests for this time and returns how many of them were served. */
    int serveFor(long ms) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        int served = 0;
        while (System.nanoTime() < endNs) {
            served += requestStatus() == 200 ? 1 : 0;
            Thread.sleep(REQUEST_INTERVAL_MS);
        }
        return served;
    }
}
