package passhatch.lab.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Many connections of clients that misbehave. One thread serves all of them. */
final class Crowd implements AutoCloseable {

    private static final int HEAD_BYTES = 7_800;
    private static final int HEAD_PIECE_BYTES = 600;
    private static final int READ_INTERVAL_MS = 100;
    private static final int MS_PER_SECOND = 1_000;
    private static final int STACK_BYTES = 1 << 17;
    private static final int SMALL_BUFFER_BYTES = 1 << 12;

    private final ProxyTestbed testbed;
    private final String name;
    private final List<ProxyClient> clients = new ArrayList<>();

    /** Creates a crowd without clients; its name begins the ids of its requests. */
    Crowd(ProxyTestbed testbed, String name) {
        this.testbed = testbed;
        this.name = name;
    }

    /** Connects clients; those that the proxy refuses are left out. */
    Crowd connect(int count) {
        for (int i = 0; i < count; i++) {
            try {
                clients.add(new ProxyClient(testbed.address()));
            } catch (IOException refused) {
                // The proxy has no descriptor left for this client.
            }
        }
        return this;
    }

    /**
     * Sends a head in pieces, the same piece of all clients before the next one.
     *
     * @param field one field with its line end, which is repeated
     * @param finished whether the head is ended, as that of a request that has a body to come
     */
    void sendHeads(String field, boolean finished) {
        StringBuilder head = new StringBuilder();
        while (head.length() < HEAD_BYTES) {
            head.append(field);
        }
        String end = finished ? "\r\n" : "";
        for (int at = 0; at < head.length(); at += HEAD_PIECE_BYTES) {
            int pieceAt = at;
            int pieceEnd = Math.min(head.length(), at + HEAD_PIECE_BYTES);
            forEachClient(
                    (client, i) ->
                            client.write(
                                    (pieceAt == 0 ? start(i) : "")
                                            + head.substring(pieceAt, pieceEnd)
                                            + (pieceEnd == head.length() ? end : "")));
        }
    }

    private String start(int client) {
        return RequestKind.NOTICE.head(name + "-" + client, "", RequestKind.NOTICE.deadlineMs)
                + "Content-Length: 10\r\n";
    }

    /** Sends requests of which each client announces more than it sends. */
    void sendHalfRequests(int announcedBytes, UniformRandomProvider random) {
        int[] sentBytes =
                clients.stream()
                        .mapToInt(client -> 1 + random.nextInt(announcedBytes - 1))
                        .toArray();
        forEachClientAtOnce(
                (client, i) ->
                        client.write(
                                RequestKind.NOTICE.head(
                                                name + "-" + i, "", RequestKind.NOTICE.deadlineMs)
                                        + "Content-Length: "
                                        + announcedBytes
                                        + "\r\n\r\n"
                                        + "x".repeat(sentBytes[i])));
    }

    /** Sends one request each whose body consists of chunks of one byte. */
    void sendTinyChunks(int chunks, String query) {
        String body = "1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n";
        forEachClientAtOnce(
                (client, i) ->
                        client.write(
                                RequestKind.NOTICE.head(
                                                name + "-" + i,
                                                query,
                                                RequestKind.NOTICE.deadlineMs)
                                        + "Transfer-Encoding: chunked\r\n\r\n"
                                        + body));
    }

    /** Sends one request each for a long response, whose arrival is held up by small buffers. */
    void requestLongResponses(int responseBytes) {
        forEachClient(
                (client, i) -> {
                    client.socket().setReceiveBufferSize(SMALL_BUFFER_BYTES);
                    client.write(
                            RequestKind.LOOKUP.head(
                                            name + "-" + i,
                                            "bytes=" + responseBytes,
                                            RequestKind.LOOKUP.deadlineMs)
                                    + "\r\n");
                });
    }

    /** Reads what comes at a rate per client until a time. */
    void readSlowly(int bytesPerSecond, long untilNs) throws InterruptedException {
        byte[] part = new byte[bytesPerSecond * READ_INTERVAL_MS / MS_PER_SECOND];
        while (System.nanoTime() < untilNs) {
            forEachClient(
                    (client, i) -> {
                        int ready = client.socket().getInputStream().available();
                        client.socket()
                                .getInputStream()
                                .read(part, 0, Math.min(ready, part.length));
                    });
            Thread.sleep(READ_INTERVAL_MS);
        }
    }

    /**
     * Sends text over and over on each connection until a time.
     *
     * @param text the next text of a client; called for each write
     * @param reading whether what comes back is read
     */
    void flood(IntFunction<String> text, boolean reading, long untilNs)
            throws InterruptedException {
        List<Thread> writers = new ArrayList<>();
        if (reading) {
            clients.forEach(Crowd::startReading);
        }
        for (int i = 0; i < clients.size(); i++) {
            int number = i;
            Thread writer = new Thread(() -> floodOne(clients.get(number), number, text, untilNs));
            writer.setDaemon(true);
            writer.start();
            writers.add(writer);
        }
        LongSupplier leftMs = () -> Math.max(1, (untilNs - System.nanoTime()) / 1_000_000);
        for (Thread writer : writers) {
            writer.join(leftMs.getAsLong());
        }
    }

    /** Asks each connection for readiness over and over, without reading, for two seconds. */
    void floodReadiness() {
        String calls = "GET /ready HTTP/1.1\r\nHost: proxy\r\n\r\n".repeat(100);
        try {
            flood(client -> calls, false, System.nanoTime() + TimeUnit.SECONDS.toNanos(2));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void floodOne(
            ProxyClient client, int number, IntFunction<String> text, long untilNs) {
        try {
            while (System.nanoTime() < untilNs) {
                client.write(text.apply(number));
            }
        } catch (IOException closed) {
            // The proxy has closed the connection, which it may.
        }
    }

    private static void startReading(ProxyClient client) {
        Thread reader =
                new Thread(
                        () -> {
                            try {
                                client.socket()
                                        .getInputStream()
                                        .transferTo(OutputStream.nullOutputStream());
                            } catch (IOException closed) {
                                // The proxy has closed the connection, or the run is over.
                            }
                        });
        reader.setDaemon(true);
        reader.start();
    }

    int size() {
        return clients.size();
    }

    /** What one client does. */
    private interface Step {
        void run(ProxyClient client, int index) throws IOException;
    }

    /** Runs a step for each client whose connection still stands. */
    private void forEachClient(Step step) {
        for (int i = 0; i < clients.size(); i++) {
            ProxyClient client = clients.get(i);
            if (client.socket().isClosed()) {
                continue;
            }
            try {
                step.run(client, i);
            } catch (IOException failed) {
                closeQuietly(client);
            }
        }
    }

    /**
     * Runs a step for each client on a thread of its own, as writes block while the proxy does not
     * read. Does not wait for the end of the steps, which closing the crowd brings about.
     */
    private void forEachClientAtOnce(Step step) {
        for (int i = 0; i < clients.size(); i++) {
            int index = i;
            Thread thread =
                    new Thread(
                            null,
                            () -> {
                                try {
                                    step.run(clients.get(index), index);
                                } catch (IOException closed) {
                                    // The proxy has closed the connection, which it may.
                                }
                            },
                            "crowd",
                            STACK_BYTES);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private static void closeQuietly(ProxyClient client) {
        try {
            client.close();
        } catch (IOException failed) {
            // Nothing is left to close.
        }
    }

    @Override
    public void close() {
        clients.forEach(Crowd::closeQuietly);
    }
}
