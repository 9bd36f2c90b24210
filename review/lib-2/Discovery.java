import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for discovery by the protocol page: the whole list, or a watch from a version. It may have too
 * many callers, who then wait in one line, and all watches may be reset.
 */
final class Discovery {

    private record Entry(long version, String json) {}

    final Kit kit;
    final int port;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new CopyOnWriteArrayList<>();
    private long version = 1;

    /** A call that has waited in line for so long ends in 503; the time-out of jackson-claims. */
    private static final long TIMEOUT_MS = 3_000;

    /** How long a call in a crowd is handled: four calls a second; the site file has 3 to 5.1. */
    private static final long HANDLING_MS = 250;

    /** How many other callers come each second in a crowd. */
    private static final long CALLERS_PER_S = 30;

    private final Semaphore line = new Semaphore(1, true);
    private final AtomicInteger othersServed = new AtomicInteger();
    private final AtomicInteger othersRefused = new AtomicInteger();

    /** Whether there are too many callers: calls wait in line and are handled one after another. */
    private volatile boolean crowded;

    Discovery(Kit kit) throws IOException {
        this.kit = kit;
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        port = listener.getLocalPort();
        Backend.daemon(
                () -> {
                    while (true) {
                        try {
                            Socket socket = listener.accept();
                            Backend.daemon(() -> serve(socket));
                        } catch (IOException failed) {
                            kit.note("discovery: accept failed: " + failed);
                        }
                    }
                });
    }

    /** Sets a backend's entry; returns when discovery has the change, in microseconds. */
    synchronized long set(String name, int backendPort, String status) {
        version++;
        entries.put(
                name,
                new Entry(
                        version,
                        "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + backendPort
                                + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\"" + status
                                + "\",\"weight\":1.0,\"since_ms\":0}"));
        long atUs = Kit.nowUs();
        kit.note("discovery has version " + version + ": " + name + " is " + status);
        notifyAll();
        return atUs;
    }

    /** Resets all open watches. */
    void resetWatches() throws IOException {
        for (Socket watch : watches) {
            watch.setSoLinger(true, 0);
            watch.close();
        }
        kit.note("discovery has reset " + watches.size() + " watches");
        watches.clear();
    }

    synchronized long version() {
        return version;
    }

    /** The list in discovery's form: whole, or what has changed after a version. */
    synchronized String list(boolean whole, long from) {
        List<String> texts = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (whole ? !entry.json().contains("DELETED") : entry.version() > from) {
                texts.add(entry.json());
            }
        }
        return "{\"index\":" + version + ",\"snapshot\":" + whole + ",\"endpoints\":["
                + String.join(",", texts) + "]}";
    }

    /** All callers wait in one line, first come, first served. Returns false after the time-out. */
    private boolean waitInLine() throws InterruptedException {
        if (!line.tryAcquire(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            return false;
        }
        try {
            Thread.sleep(HANDLING_MS);
        } finally {
            line.release();
        }
        return true;
    }

    /** Other callers come, each with one call for the whole list, for the given time. */
    void beginCrowd(long forMs) {
        crowded = true;
        long endUs = Kit.nowUs() + forMs * 1_000;
        kit.note("discovery has " + CALLERS_PER_S + " other callers a second");
        Backend.daemon(
                () -> {
                    Random random = new Random(1);
                    double nextUs = Kit.nowUs();
                    while (Kit.nowUs() < endUs) {
                        Backend.daemon(this::callAsAnother);
                        // Arrivals at random: evenly spaced ones would all but take the line's places.
                        nextUs -= Math.log(1 - random.nextDouble()) * 1e6 / CALLERS_PER_S;
                        try {
                            Thread.sleep(Math.max(0, (long) (nextUs - Kit.nowUs()) / 1_000));
                        } catch (InterruptedException interrupted) {
                            return;
                        }
                    }
                    crowded = false;
                    kit.note("the other callers stay away: " + others());
                });
    }

    /** What became of the other callers' calls: while some are answered, discovery can be reached. */
    String others() {
        return "of the other callers' calls " + othersServed + " were answered and " + othersRefused
                + " ended in 503";
    }

    private void callAsAnother() {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write(
                            "GET /v1/endpoints HTTP/1.1\r\nHost: discovery\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            HttpReader reader = new HttpReader(socket.getInputStream());
            if (reader.readHead()) {
                boolean served = reader.startLine.contains(" 200 ");
                (served ? othersServed : othersRefused).incrementAndGet();
                kit.detail(
                        Kit.nowUs(),
                        "another caller of discovery: " + reader.startLine
                                + (served ? ", version " + version() : ""));
            }
        } catch (IOException failed) {
            kit.note("another caller of discovery: " + failed);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpReader reader = new HttpReader(socket.getInputStream());
            while (reader.readHead()) {
                String path = reader.startLine.split(" ")[1];
                if (path.contains("watch=1")) {
                    kit.note("discovery is called: " + path);
                }
                OutputStream out = socket.getOutputStream();
                if (crowded && !waitInLine()) {
                    out.write(
                            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                    if (path.contains("watch=1")) {
                        kit.note("discovery has answered a call for a watch with 503");
                    }
                    continue;
                }
                if (!path.contains("watch=1")) {
                    String list = list(true, 0);
                    out.write(
                            ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                    .getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                watch(socket, out, Long.parseLong(path.replaceAll(".*from=", "")));
                return;
            }
        } catch (IOException | InterruptedException ended) {
            // The call was given up, or its watch was reset.
        } finally {
            watches.remove(socket);
        }
    }

    private void watch(Socket socket, OutputStream out, long from)
            throws IOException, InterruptedException {
        out.write(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        watches.add(socket);
        boolean whole = from < 1;
        long told = from;
        String line = list(whole, told);
        told = version();
        while (true) {
            line += "\n";
            out.write(
                    (Integer.toHexString(line.length()) + "\r\n" + line + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            if (line.length() > 1) {
                kit.note("discovery has written on a watch: " + line.strip());
            }
            synchronized (this) {
                long endUs = Kit.nowUs() + 2_000_000;
                while (version == told && Kit.nowUs() < endUs) {
                    wait(Math.max(1, (endUs - Kit.nowUs()) / 1_000));
                }
                line = version == told ? "" : list(false, told);
                told = version;
            }
        }
    }
}
