package passhatch.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A backend that treats each request as its query says ({@link AnswerPlan}) and records when it
 * arrived. It has a thread for each connection and no limit on what runs at a time.
 */
final class PlannedBackend implements Closeable {

    private static final int BACKLOG = 1024;
    private static final int STACK_BYTES = 1 << 17;
    private static final int SO_BUFFER_BYTES = 1 << 16;

    private final ServerSocket listener;
    private final Records records;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** Starts a backend on a free port of the loopback interface. */
    PlannedBackend(Records records) throws IOException {
        this.records = records;
        this.listener = new ServerSocket();
        listener.setReceiveBufferSize(SO_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        startThread("backend-accept", this::acceptConnections);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private static void startThread(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connections.add(connection);
                startThread("backend-connection", () -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            HttpReader reader = new HttpReader(connection.getInputStream());
            for (boolean open = true; open; ) {
                int first = reader.readByte();
                open = serveRequest(connection, reader, first, System.nanoTime());
            }
        } catch (IOException | InterruptedException ended) {
            // The proxy has closed the connection, or the run is over.
        } finally {
            connections.remove(connection);
        }
    }

    /** Serves one request and returns whether the connection stays open. */
    private boolean serveRequest(Socket connection, HttpReader reader, int first, long firstByteNs)
            throws IOException, InterruptedException {
        String head = reader.readHead(first);
        String id = HttpReader.header(head, "x-request-id");
        AnswerPlan plan = AnswerPlan.of(head.split(" ", 3)[1]);
        try {
            reader.readBody(head, false, plan.readRate());
        } catch (IOException truncated) {
            records.attempts.add(new BackendAttempt(id, firstByteNs, 0));
            throw truncated;
        }
        records.attempts.add(new BackendAttempt(id, firstByteNs, System.nanoTime()));
        Thread.sleep(plan.workMs());
        respond(connection.getOutputStream(), plan, plan.bodyFor(id));
        return plan.framing() != AnswerPlan.Framing.CLOSE;
    }

    private static void respond(OutputStream out, AnswerPlan plan, byte[] body)
            throws IOException, InterruptedException {
        String framing =
                switch (plan.framing()) {
                    case LENGTH -> "Content-Length: " + body.length + "\r\n";
                    case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                    case CLOSE -> "Connection: close\r\n";
                };
        write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n");
        Thread.sleep(plan.bodyDelayMs());
        int half = body.length / 2;
        writePart(out, plan, body, 0, half);
        Thread.sleep(plan.pauseMs());
        writePart(out, plan, body, half, body.length - half);
        if (plan.framing() == AnswerPlan.Framing.CHUNKED) {
            write(out, "0\r\n\r\n");
        }
    }

    private static void writePart(
            OutputStream out, AnswerPlan plan, byte[] body, int offset, int length)
            throws IOException {
        boolean chunked = plan.framing() == AnswerPlan.Framing.CHUNKED;
        if (length == 0) {
            return;
        }
        if (chunked) {
            write(out, Integer.toHexString(length) + "\r\n");
        }
        out.write(body, offset, length);
        if (chunked) {
            write(out, "\r\n");
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
