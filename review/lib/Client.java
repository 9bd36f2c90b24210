import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One connection of a client to a proxy. It sends one request at a time. */
final class Client implements AutoCloseable {
    /** What came back: the status, or 0 with the reason if there was no whole answer. */
    static final class Answer {
        int status;
        String reason = "";
        byte[] body = new byte[0];
        boolean close;

        /** Whether the last byte of the request was written. */
        boolean written;

        /** Time from the last byte of the request, or from its first if not all was written. */
        double ms;

        String text() {
            return new String(body, 0, Math.min(body.length, 200), StandardCharsets.UTF_8);
        }
    }

    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    Client(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                2000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request, whose head is completed here, and waits for its answer. */
    Answer call(String head, byte[] body, int timeoutMs) {
        Answer answer = new Answer();
        long startNs = System.nanoTime();
        try {
            byte[] start =
                    (head + "Host: origin.svc\r\n"
                                    + (body == null
                                            ? ""
                                            : "Content-Length: " + body.length + "\r\n")
                                    + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = start;
            if (body != null) {
                all = java.util.Arrays.copyOf(start, start.length + body.length);
                System.arraycopy(body, 0, all, start.length, body.length);
            }
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(all);
            answer.written = true;
            startNs = System.nanoTime();
            Http.Message message = Http.read(in);
            if (message == null) {
                answer.reason = "closed without an answer";
            } else {
                answer.status = message.status();
                answer.body = message.body;
                answer.close = "close".equalsIgnoreCase(message.header("connection"));
            }
        } catch (SocketTimeoutException late) {
            answer.reason = "no answer in " + timeoutMs + " ms";
        } catch (IOException broken) {
            answer.reason = "connection broke: " + broken.getMessage();
        }
        answer.ms = (System.nanoTime() - startNs) / 1e6;
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
