import java.util.ArrayList;
import java.util.List;

/**
 * Two proxies of a site whose lists are pushed, six backends, steady clients. Discovery has too many callers: all
 * calls wait in one line and end in 503 after 3 s. All watches are reset, and 2 s later a backend begins to
 * drain; discovery has that at once.
 */
final class Case9 {

    private static final long GRACE_US = 750_000;

    /** Every time limit is 50 ms longer; a proxy may be held up for up to 150 ms; the rest is ours. */
    private static final long SLACK_US = 300_000;

    private Case9() {}

    public static void main(String[] args) throws Exception {
        Kit.main(args, Case9::run);
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
            proxy.configure(discovery.port, "pushed", 2, i, discovery.list(true, 0));
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
        Thread.sleep(3_000);
        if (kit.trouble) {
            discovery.beginCrowd(14_000);
        }
        Thread.sleep(4_000);
        if (kit.trouble) {
            discovery.resetWatches();
        }
        Thread.sleep(2_000);
        Backend drained = backends.get(0);
        long toldUs = discovery.set(drained.name, drained.port, "DRAINING");
        drained.draining = true;
        Thread.sleep(9_000);
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
                        "%s got %d requests later than %.2f s after its drain counted as told; the last"
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
}
