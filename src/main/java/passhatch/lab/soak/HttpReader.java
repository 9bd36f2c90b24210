package passhatch.lab.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Reads HTTP/1.1 messages from a stream, byte by byte as they arrive. */
final class HttpReader {

    private static final int MAX_HEAD_BYTES = 1 << 14;
    private static final int BLOCK_BYTES = 1 << 13;
    private static final int HEX = 16;

    private final InputStream in;
    private final byte[] block = new byte[BLOCK_BYTES];

    HttpReader(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the head of a message.
     *
     * @param first the first byte of the head, which has been read before; -1 if none has
     */
    String readHead(int first) throws IOException {
        StringBuilder head = new StringBuilder();
        if (first >= 0) {
            head.append((char) first);
        }
        while (head.indexOf("\r\n\r\n") < 0) {
            if (head.length() > MAX_HEAD_BYTES) {
                throw new IOException("the head is too long");
            }
            head.append((char) readByte());
        }
        return head.toString();
    }

    int readByte() throws IOException {
        int read = in.read();
        if (read < 0) {
            throw new EOFException("the connection has ended");
        }
        return read;
    }

    /** Returns a header's value in lower case; an empty text if the head does not have it. */
    static String header(String head, String name) {
        String lower = head.toLowerCase(Locale.ROOT);
        String prefix = "\r\n" + name.toLowerCase(Locale.ROOT) + ":";
        int at = lower.indexOf(prefix);
        return at < 0
                ? ""
                : lower.substring(at + prefix.length(), lower.indexOf("\r\n", at + 2)).strip();
    }

    /**
     * Reads the body that follows a head.
     *
     * @param untilClose whether a body without a length ends with the connection; otherwise there
     *     is no such body
     * @param bytesPerSecond rate at which the body is read; 0 for no limit
     */
    byte[] readBody(String head, boolean untilClose, int bytesPerSecond) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = header(head, "content-length");
        if (!length.isEmpty()) {
            readExactly(Long.parseLong(length), body, bytesPerSecond);
        } else if (header(head, "transfer-encoding").equals("chunked")) {
            readChunks(body, bytesPerSecond);
        } else if (untilClose) {
            in.transferTo(body);
        }
        return body.toByteArray();
    }

    private void readChunks(ByteArrayOutputStream body, int bytesPerSecond) throws IOException {
        while (true) {
            int size = Integer.parseInt(readLine().split(";", 2)[0].strip(), HEX);
            if (size == 0) {
                while (!readLine().isEmpty()) {
                    // Trailers are not used.
                }
                return;
            }
            readExactly(size, body, bytesPerSecond);
            readLine();
        }
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int read = readByte(); read != '\n'; read = readByte()) {
            line.write(read);
        }
        return line.toString(StandardCharsets.US_ASCII).strip();
    }

    private void readExactly(long count, ByteArrayOutputStream body, int bytesPerSecond)
            throws IOException {
        for (long left = count; left > 0; ) {
            int read = in.read(block, 0, (int) Math.min(left, block.length));
            if (read < 0) {
                throw new EOFException("the body is truncated");
            }
            left -= read;
            body.write(block, 0, read);
            if (bytesPerSecond > 0) {
                pause(TimeUnit.SECONDS.toNanos(read) / bytesPerSecond);
            }
        }
    }

    private static void pause(long ns) throws IOException {
        try {
            TimeUnit.NANOSECONDS.sleep(ns);
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }
}
