import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in for a backend by the protocol page: one request at a time on a connection, run when its last
 * byte has arrived; while it drains it completes what it holds and turns all else away.
 */
final class Backend {

    /** A request that has reached this backend. */
    record Arrival(String backend, String id, long firstByteUs, long lastByteUs, boolean ran) {}

    private static final int PIECE_BYTES = 1_460;

    final Kit kit;
    final String name;
    final int port;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    volatile boolean draining;
    volatile long serviceMs = 10;

    /** The length of an answer's body, 0 for a short one; it is given in pieces over this time. */
    volatile int answerBytes;

    volatile long answerMs;

    Backend(Kit kit, String name) throws IOException {
        this.kit = kit;
        this.name = name;
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        this.port = listener.getLocalPort();
        daemon(
                () -> {
                    while (true) {
                        try {
                            Socket socket = listener.accept();
                            daemon(() -> serve(socket));
                        } catch (IOException failed) {
                            kit.note(name + ": accept failed: " + failed);
                        }
                    }
                });
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** The body of this backend's 200 response to a request. */
    static String bodyFor(String backend, String id) {
        return "served " + id + " by " + backend;
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpReader reader = new HttpReader(socket.getInputStream());
            while (reader.readHead()) {
                long firstByteUs = reader.firstByteUs;
                reader.readBody(false);
                String id = reader.headers.getOrDefault("x-request-id", "");
                boolean runs = !draining;
                long lastByteUs = Kit.nowUs();
                arrivals.add(new Arrival(name, id, firstByteUs, lastByteUs, runs));
                kit.detail(
                        lastByteUs,
                        name + (runs ? " runs " : " turns away ") + id + ", first byte at "
                                + firstByteUs / 1e6 + " s");
                if (runs) {
                    Thread.sleep(serviceMs);
                }
                OutputStream out = socket.getOutputStream();
                if (runs && answerBytes > 0) {
                    giveInPieces(out);
                    continue;
                }
                byte[] body = bodyFor(name, id).getBytes(StandardCharsets.US_ASCII);
                out.write(
                        (runs
                                        ? "HTTP/1.1 200 OK\r\nContent-Length: " + body.length
                                                + "\r\n\r\n" + new String(body, StandardCharsets.US_ASCII)
                                        : "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
                                                + "Content-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        } catch (IOException | InterruptedException ended) {
            // The proxy has closed the connection, as to give up an attempt.
        }
    }

    private void giveInPieces(OutputStream out) throws IOException, InterruptedException {
        out.write(
                ("HTTP/1.1 200 OK\r\nContent-Length: " + answerBytes + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        long startUs = Kit.nowUs();
        for (int given = 0; given < answerBytes; given += PIECE_BYTES) {
            out.write(new byte[Math.min(PIECE_BYTES, answerBytes - given)]);
            out.flush();
            long dueUs = startUs + (given + PIECE_BYTES) * answerMs * 1_000 / answerBytes;
            Thread.sleep(Math.max(0, (dueUs - Kit.nowUs()) / 1_000));
        }
    }
}
