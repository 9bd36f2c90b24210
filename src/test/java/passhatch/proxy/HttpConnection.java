package passhatch.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One end of an HTTP/1.1 connection, with control over every byte. */
public final class HttpConnection implements Closeable {

    public static final int TIMEOUT_MS = 20_000;

    /** A request or a response as received. */
    public record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** An action that runs when the head of a message has been read. */
    interface HeadListener {
        void headReceived() throws IOException;
    }

    public final Socket socket;
    private HeadListener headListener = () -> {};
    private final InputStream in;

    HttpConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    static HttpConnection connect(InetSocketAddress address) throws IOException {
        return new HttpConnection(new Socket(address.getAddress(), address.getPort()));
    }

    /** Sets how long a read waits for data, instead of {@link #TIMEOUT_MS}. */
    public void setTimeoutMs(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
    }

    /**
     * Returns a connection with a minimal receive buffer, so that data it does not read stays at
     * its peer.
     */
    static HttpConnection withSmallReceiveBuffer(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1);
        socket.connect(address);
        return new HttpConnection(socket);
    }

    public void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.UTF_8));
    }

    public void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    public void respond(String status, String body) throws IOException {
        write("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    void setHeadListener(HeadListener listener) {
        headListener = listener;
    }

    /** Reads one message with its body; returns null at the end of the connection. */
    Message read() throws IOException {
        String start = readLine();
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
            putHeader(headers, line);
        }
        headListener.headReceived();
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            return new Message(start, headers, readChunks(headers));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body is truncated");
        }
        return new Message(start, headers, body);
    }

    private static void putHeader(Map<String, String> headers, String line) {
        int colon = line.indexOf(':');
        headers.put(
                line.substring(0, colon).toLowerCase(Locale.ROOT),
                line.substring(colon + 1).strip());
    }

    /** Reads a chunked body and adds its trailers to the headers. */
    private byte[] readChunks(Map<String, String> headers) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            body.write(in.readNBytes(size));
            readLine();
        }
        for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
            putHeader(headers, line);
        }
        return body.toByteArray();
    }

    private int readChunkSize() throws IOException {
        String line = readLine();
        if (line == null) {
            throw new EOFException("the chunks are truncated");
        }
        return Integer.parseInt(line, 16);
    }

    /** Reads everything up to the end of the connection. */
    String readAll() throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).strip();
    }

    /** Closes the connection with a reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
