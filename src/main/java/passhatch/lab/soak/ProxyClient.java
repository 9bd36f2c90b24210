package passhatch.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A client's connection to the proxy under test. Reads and writes block. */
final class ProxyClient implements Closeable {

    private static final int CONNECT_TIMEOUT_MS = 5_000;
    private static final int STATUS_OFFSET = 9;
    private static final int STATUS_END = 12;

    private final Socket socket = new Socket();
    private final HttpReader reader;

    /** Whether the last response announced the close, or the connection has failed. */
    private boolean ended;

    ProxyClient(InetSocketAddress proxy) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(proxy, CONNECT_TIMEOUT_MS);
        reader = new HttpReader(socket.getInputStream());
    }

    Socket socket() {
        return socket;
    }

    boolean ended() {
        return ended;
    }

    void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.US_ASCII));
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Sends a request with a body of the given length and records when that was done. */
    void send(ClientRequest request, String query, byte[] body) throws IOException {
        byte[] head =
                (request.kind.head(request.id, query, request.timeoutMs)
                                + (body.length > 0 || request.kind != RequestKind.LOOKUP
                                        ? "Content-Length: " + body.length + "\r\n"
                                        : "")
                                + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        byte[] message = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        write(message);
        request.sentNs = System.nanoTime();
    }

    /**
     * Reads the response to a request into its record.
     *
     * @param bytes the length of the body that the backend was asked for
     * @param patienceMs maximum time between two reads, in milliseconds
     */
    void readResponse(ClientRequest request, int bytes, int patienceMs) {
        try {
            socket.setSoTimeout(patienceMs);
            String head = reader.readHead(-1);
            request.status = Integer.parseInt(head.substring(STATUS_OFFSET, STATUS_END));
            byte[] body = reader.readBody(head, true, 0);
            request.bodyIntact = Arrays.equals(body, AnswerPlan.bodyFor(request.id, bytes));
            request.answeredNs = System.nanoTime();
            ended = HttpReader.header(head, "connection").equals("close");
        } catch (IOException lost) {
            request.connectionLost = true;
            ended = true;
        }
    }

    /** Closes the connection, by a reset if told so, and returns when that was done. */
    long leave(boolean reset) throws IOException {
        if (reset) {
            socket.setSoLinger(true, 0);
        }
        ended = true;
        socket.close();
        return System.nanoTime();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
