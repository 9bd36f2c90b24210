package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A proxy process whose clients together send more than its heap can hold. */
class LongBodiesIT extends OneProxyDrill {

    /** A third of the descriptors, which is the most that clients use for requests. */
    private static final int CLIENTS = 340;

    private static final int BODY_BYTES = 4_000_000;
    private static final long LOAD_NS = TimeUnit.SECONDS.toNanos(8);
    private static final int READ_TIMEOUT_MS = 6_000;
    private static final byte[] BODY = new byte[BODY_BYTES];

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    LongBodiesIT() {
        super("memory_mb = 144, sockets = 1024", 9);
    }

    /**
     * Guards against an OutOfMemoryError in the event loop, after which requests were not answered
     * and the process ended: bodies that waited for a backend were held without a limit.
     */
    @Test
    void longBodiesOfManyClientsDoNotEndTheProxy() throws Exception {
        sendLongBodies();
        String log = proxy.process().logTail();
        assertTrue(proxy.process().isAlive(), () -> "the process ended: " + log);
        assertFalse(log.contains("OutOfMemoryError"), log);
        assertTrue(answered.get() > 0, "no request was answered");
        injectFault("do = 'well', target = 'backends'");
        await("an answer", () -> requestStatus() == 200);
    }

    /** Guards against requests with long bodies that are written completely and not answered. */
    @Test
    void longBodiesOfManyClientsAreAllAnswered() throws Exception {
        sendLongBodies();
        assertEquals(sent.get(), answered.get(), "requests sent and answered");
    }

    private void sendLongBodies() throws InterruptedException {
        injectFault("do = 'slow', target = 'backends', factor = 20.0");
        long endNs = System.nanoTime() + LOAD_NS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> sendRequests(number, endNs));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    /**
     * Sends one request after another, on a new connection if the last one has failed or its
     * response has announced the close.
     */
    private void sendRequests(int client, long endNs) {
        for (int n = 0; System.nanoTime() < endNs; ) {
            try (Socket socket =
                    new Socket(
                            proxy.listenAddress().getAddress(), proxy.listenAddress().getPort())) {
                socket.setSoTimeout(READ_TIMEOUT_MS);
                for (boolean open = true; open && System.nanoTime() < endNs; ) {
                    writeRequest(socket, "c" + client + "-" + n++);
                    sent.incrementAndGet();
                    open = readResponse(socket);
                    answered.incrementAndGet();
                }
            } catch (IOException lost) {
                // Counted as sent and not as answered if the request was written.
            }
        }
    }

    private static void writeRequest(Socket socket, String id) throws IOException {
        String head =
                "GET /look HTTP/1.1\r\nHost: p\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Deadline: 4000m\r\nContent-Length: "
                        + BODY_BYTES
                        + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(BODY);
    }

    /** Reads a response and returns whether the connection stays open after it. */
    private static boolean readResponse(Socket socket) throws IOException {
        String head = readHead(socket).toLowerCase(Locale.ROOT);
        String lengthHeader = "content-length: ";
        int at = head.indexOf(lengthHeader);
        int length =
                Integer.parseInt(
                        head.substring(at + lengthHeader.length(), head.indexOf("\r\n", at)));
        if (socket.getInputStream().readNBytes(length).length < length) {
            throw new IOException("the response was truncated");
        }
        return !head.contains("connection: close");
    }

    private static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int read = socket.getInputStream().read();
            if (read < 0) {
                throw new IOException("the connection was closed");
            }
            head.append((char) read);
        }
        return head.toString();
    }
}
