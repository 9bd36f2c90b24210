import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Two proxies, six backends, steady clients; lists are asked for. All watches are reset, and discovery has too
 * many callers for 24 s: each call waits 2.9 s in line, and those of the proxies end in 503 then. Another
 * caller's are answered all the time. 0.8 s after the reset a backend is deleted; it still answers.
 */
final class Case8 {

    /** A change counts as told at the latest so long after discovery had it and could be reached. */
    private static final long TOLD_WITHIN_US = 6_000_000;

    private static final long GRACE_US = 750_000;

    /** Every time limit is 50 ms longer; a proxy may be held up for up to 150 ms; the rest is ours. */
    private static final long SLACK_US = 300_000;

    private Case8() {}

    public static void main(String[] args) throws Exception {
        Kit.main(args, Case8::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Discovery discovery = new Discovery(kit);
        List<Backend> backends = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            Backend backend = new Backend(kit, "b" + i);
            backends.add(backend);
            discovery.set(backend.name, backend.port, "SERVING");
        }
        List<Proxy> proxies = new ArrayList<>();
        Client clients = new Client(kit);
        for (int i = 0; i < 2; i++) {
            Proxy proxy = new Proxy(kit, "proxy" + (i + 1));
            proxies.add(proxy);
            proxy.configure(discovery.port, "on_request", 2, i, discovery.list(true, 0));
            proxy.start(discovery.port);
        }
        for (Proxy proxy : proxies) {
            proxy.awaitReady();
            for (int i = 0; i < 6; i++) {
                clients.start(
                        proxy.port,
                        List.of("policy-lookup", "loss-notice", "claim-settle").get(i % 3),
                        i % 3 == 2 ? 4_000 : 1_500,
                        60);
            }
        }
        Thread.sleep(6_000);
        if (kit.trouble) {
            discovery.callDelayMs = 2_900;
            discovery.callsFail = true;
            discovery.resetWatches();
        }
        Thread.sleep(800);
        Backend drained = backends.get(0);
        long toldUs =
                discovery.set(drained.name, drained.port, "DELETED") + (kit.trouble ? TOLD_WITHIN_US : 0);
        Thread other = new Thread(() -> callDiscovery(kit, discovery));
        other.setDaemon(true);
        other.start();
        Thread.sleep(24_000);
        discovery.callsFail = false;
        discovery.callDelayMs = 0;
        Thread.sleep(4_000);
        clients.stopped = true;
        Thread.sleep(500);

        int late = 0;
        long lastUs = toldUs;
        for (Backend.Arrival arrival : drained.arrivals) {
            if (arrival.firstByteUs() > toldUs + GRACE_US + SLACK_US) {
                late++;
                kit.detail(
                        arrival.firstByteUs(),
                        String.format(
                                "LATE SEND: %s, %.3f s after the change counted as told",
                                arrival.id(), (arrival.firstByteUs() - toldUs) / 1e6));
            }
            lastUs = Math.max(lastUs, arrival.firstByteUs());
        }
        long served = clients.sent.stream().filter(s -> s.status() == 200).count();
        kit.note(clients.sent.size() + " requests sent, " + served + " served");
        kit.note(
                String.format(
                        "%s got %d requests later than %.2f s after its end counted as told; the last"
                                + " %.3f s after it",
                        drained.name, late, (GRACE_US + SLACK_US) / 1e6, (lastUs - toldUs) / 1e6));
        if (served < clients.sent.size() / 2 && !kit.trouble) {
            throw new Kit.NotRun("too few were served");
        }
        for (Proxy proxy : proxies) {
            kit.noteLog(proxy.name, "discovery:", "the list of servers");
        }
        return late == 0;
    }

    /** Another caller of discovery: its answers show that discovery has the change and can be reached. */
    private static void callDiscovery(Kit kit, Discovery discovery) {
        long endUs = Kit.nowUs() + 24_000_000;
        while (Kit.nowUs() < endUs) {
            try (Socket socket = new Socket("127.0.0.1", discovery.port)) {
                socket.getOutputStream()
                        .write(
                                "GET /v1/endpoints HTTP/1.1\r\nHost: discovery\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                HttpReader reader = new HttpReader(socket.getInputStream());
                if (reader.readHead()) {
                    String list = new String(reader.readBody(false), StandardCharsets.US_ASCII);
                    kit.note(
                            "another caller of discovery: " + reader.startLine + ", "
                                    + list.substring(0, list.indexOf("endpoints")));
                }
                Thread.sleep(500);
            } catch (IOException failed) {
                kit.note("another caller of discovery: " + failed);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }
}
