import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that keep their connections and send one request at a time on each. */
final class Client {

    /** A request and its final answer: a status, 0 for a connection that ended, -1 for none. */
    record Sent(String id, String path, long sentUs, long answeredUs, int status, String body) {}

    private static final AtomicLong IDS = new AtomicLong();

    final Kit kit;
    final List<Sent> sent = new CopyOnWriteArrayList<>();
    volatile boolean stopped;

    Client(Kit kit) {
        this.kit = kit;
    }

    static String newId() {
        return String.format("%016x", 0x5eed000000000000L + IDS.incrementAndGet());
    }

    /** The head of a request as on the protocol page. */
    static String head(String id, String requestClass, long deadlineMs, int bodyBytes) {
        boolean get = requestClass.equals("policy-lookup");
        return (get ? "GET /" : "POST /") + requestClass + " HTTP/1.1\r\nHost: origin.svc\r\n"
                + "X-Request-Id: " + id + "\r\nX-Tenant: magnolia-mutual\r\nX-Deadline: " + deadlineMs
                + "m\r\n"
                + (requestClass.equals("claim-settle") ? "Idempotency-Key: key-" + id + "\r\n" : "")
                + (get ? "" : "Content-Length: " + bodyBytes + "\r\n")
                + "\r\n";
    }

    /** Starts a client with one connection that sends a request each {@code periodMs}. */
    void start(int proxyPort, String requestClass, long deadlineMs, long periodMs) {
        Backend.daemon(
                () -> {
                    Connection connection = new Connection(proxyPort);
                    long nextUs = Kit.nowUs();
                    while (!stopped) {
                        connection.request(requestClass, deadlineMs);
                        nextUs = Math.max(nextUs + periodMs * 1_000, Kit.nowUs());
                        try {
                            Thread.sleep(Math.max(0, (nextUs - Kit.nowUs()) / 1_000));
                        } catch (InterruptedException interrupted) {
                            return;
                        }
                    }
                });
    }

    private final class Connection {
        private final int port;
        private Socket socket;
        private HttpReader reader;

        Connection(int port) {
            this.port = port;
        }

        void request(String requestClass, long deadlineMs) {
            String id = newId();
            String body = requestClass.equals("policy-lookup") ? "" : "a body of " + id;
            long sentUs = Kit.nowUs();
            int status = 0;
            String answer = "";
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
                    socket.setTcpNoDelay(true);
                    reader = new HttpReader(socket.getInputStream());
                }
                socket.setSoTimeout((int) deadlineMs + 600);
                socket.getOutputStream()
                        .write(
                                (head(id, requestClass, deadlineMs, body.length()) + body)
                                        .getBytes(StandardCharsets.US_ASCII));
                sentUs = Kit.nowUs();
                if (reader.readHead()) {
                    status = Integer.parseInt(reader.startLine.split(" ")[1]);
                    answer = new String(reader.readBody(true), StandardCharsets.US_ASCII);
                    if ("close".equalsIgnoreCase(reader.headers.get("connection"))) {
                        close();
                    }
                } else {
                    close();
                }
            } catch (java.net.SocketTimeoutException late) {
                status = -1;
                close();
            } catch (IOException failed) {
                close();
            }
            long answeredUs = Kit.nowUs();
            sent.add(new Sent(id, requestClass, sentUs, answeredUs, status, answer));
            kit.detail(
                    answeredUs,
                    "client: " + id + " " + requestClass + " sent at " + sentUs / 1e6 + " s: " + status
                            + " " + answer);
        }

        private void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException failed) {
                kit.note("client: " + failed);
            }
            socket = null;
        }
    }
}
