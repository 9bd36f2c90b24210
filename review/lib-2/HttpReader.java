import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a connection: a head, then a body by its length or in chunks. */
final class HttpReader {
    private final InputStream in;

    /** When the first byte of the latest head was read. */
    long firstByteUs;

    String startLine;
    Map<String, String> headers;

    HttpReader(InputStream in) {
        this.in = new BufferedInputStream(in, 1 << 14);
    }

    /** Reads a head. Returns false at an orderly end of the connection before it. */
    boolean readHead() throws IOException {
        int first = in.read();
        if (first < 0) {
            return false;
        }
        firstByteUs = Kit.nowUs();
        startLine = readLine(first);
        headers = new TreeMap<>();
        for (String line = readLine(-1); !line.isEmpty(); line = readLine(-1)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return true;
    }

    private String readLine(int firstByte) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = firstByte >= 0 ? firstByte : in.read();
        while (b != '\n') {
            if (b < 0) {
                throw new EOFException("the connection ended within a head");
            }
            line.write(b);
            b = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Reads the body. One without a length is read to the end of the connection if so wanted. */
    byte[] readBody(boolean toTheEnd) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(-1).split(";")[0].strip(), 16);
                if (size == 0) {
                    while (!readLine(-1).isEmpty()) {
                        // A trailer.
                    }
                    return body.toByteArray();
                }
                body.write(readExactly(size));
                readLine(-1);
            }
        }
        String length = headers.get("content-length");
        if (length == null) {
            return toTheEnd ? in.readAllBytes() : new byte[0];
        }
        return readExactly(Integer.parseInt(length));
    }

    private byte[] readExactly(int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }
}
