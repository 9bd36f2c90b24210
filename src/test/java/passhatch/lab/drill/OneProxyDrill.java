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
import passhatch.lab.standin.DiscoveryServer;

/** One real process of the packaged program before backends and discovery that fail on demand. */
abstract class OneProxyDrill {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();
    private static final long PATIENCE_MS = 20_000;

    @TempDir private Path folder;
    private final String description;
    private final HttpClient http = HttpClient.newHttpClient();
    private final AtomicInteger ids = new AtomicInteger();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private EventFile events;
    private FaultRunner faults;
    Field field;
    ProxyChild proxy;

    /**
     * @param proxies further keys of the scenario's proxies, as a file holds them
     * @param backends how many there are
     */
    OneProxyDrill(String proxies, int backends) {
        this.description =
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
        Scenario scenario = ScenarioReader.read("faults", description);
        field = new Field(scenario, new Seeds(1), JAR, folder, List.of());
        field.startProxies(PATIENCE_MS);
        proxy = field.proxies.get(0);
        events = new EventFile(folder.resolve("events.jsonl"));
        faults =
                new FaultRunner(
                        scenario, field, new ProxyPool(List.of(proxy.listen())), events, timer);
    }

    @AfterEach
    void end() throws IOException {
        timer.shutdownNow();
        field.close();
        events.close();
        assertFalse(proxy.child().alive(), "a process was left behind");
    }

    void fault(String text) {
        String whole =
                description.replace("expect =", "faults = [{at = '0s', " + text + "}]\nexpect =");
        FaultPlan.of(ScenarioReader.read("faults", whole)).forEach(faults::run);
        assertTrue(
                events.all().stream().noneMatch(e -> e.what().equals("fault-failed")),
                () -> "" + events.all());
    }

    /** Status of a request, or 0 where no answer came; the deadline is the class's. */
    int ask() {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + Local.text(proxy.listen()) + "/look"))
                        .header("X-Request-Id", "r" + ids.incrementAndGet())
                        .timeout(Duration.ofSeconds(3))
                        .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException none) {
            return 0;
        } catch (InterruptedException stop) {
            throw new IllegalStateException(stop);
        }
    }

    void await(String what, BooleanSupplier holds) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (!holds.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() < endNs,
                    () -> "never came: " + what + "; the proxy's log:\n" + proxy.child().logEnd());
            Thread.sleep(10);
        }
    }

    /** Discovery moves, and the proxy is told by SIGHUP. */
    void moveDiscovery() throws IOException, InterruptedException {
        proxy.moveDiscovery(field.discovery.changeAddress());
    }

    int listed() {
        return proxy.ask("vars")
                .lines()
                .filter(l -> l.contains("hosts_listed"))
                .map(l -> Integer.parseInt(l.substring(l.lastIndexOf(' ') + 1)))
                .findFirst()
                .orElse(-1);
    }

    /** Discovery lists a name at the first backend's address. */
    void list(String name, String status) {
        field.discovery.update(
                List.of(
                        new DiscoveryServer.Endpoint(
                                name, field.backends.get(0).address(), status, 0)));
    }
}
