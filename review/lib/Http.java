import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams, as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** A message: its first line, its headers in lower case, and its body. */
    static final class Message {
        String start;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        /** Times in nanoseconds of the first byte and of the last byte. */
        long firstNs;

        long lastNs;

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    /** Reads one message; returns null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        String line = line(in, message);
        if (line == null) {
            return null;
        }
        message.start = line;
        for (line = line(in, null); !line.isEmpty(); line = line(in, null)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            var body = new java.io.ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in, null).split(";")[0].strip(), 16);
                body.write(exactly(in, size));
                line(in, null);
                if (size == 0) {
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (message.header("content-length") != null) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        }
        message.lastNs = System.nanoTime();
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the message is truncated");
        }
        return bytes;
    }

    private static String line(InputStream in, Message message) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); ; b = in.read()) {
            if (b < 0) {
                if (message != null && text.length() == 0) {
                    return null;
                }
                throw new EOFException("the head is truncated");
            }
            if (message != null && message.firstNs == 0) {
                message.firstNs = System.nanoTime();
            }
            if (b == '\n') {
                return text.toString();
            }
            if (b != '\r') {
                text.append((char) b);
            }
        }
    }

    /** Writes a response with a body of known length, in one write. */
    static void respond(OutputStream out, int status, String headers, byte[] body)
            throws IOException {
        byte[] head =
                ("HTTP/1.1 " + status + " -\r\nContent-Length: " + body.length + "\r\n" + headers
                                + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }
}
