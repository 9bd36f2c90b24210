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
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in for discovery by the protocol page: the whole list, or a watch from a version. Calls may be
 * made to wait in line, and all watches may be reset.
 */
final class Discovery {

    private record Entry(long version, String json) {}

    final Kit kit;
    final int port;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new CopyOnWriteArrayList<>();
    private long version = 1;

    /** How long each call waits before it is answered. */
    volatile long callDelayMs;

    /** Whether a call for a watch that has waited ends in 503, as one that waited too long. */
    volatile boolean callsFail;

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

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpReader reader = new HttpReader(socket.getInputStream());
            while (reader.readHead()) {
                String path = reader.startLine.split(" ")[1];
                kit.note("discovery is called: " + path);
                Thread.sleep(callDelayMs);
                OutputStream out = socket.getOutputStream();
                if (callsFail && path.contains("watch=1")) {
                    out.write(
                            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                    kit.note("discovery has answered a call with 503");
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
