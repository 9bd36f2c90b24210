package passhatch.fleet;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The header that all datagrams of the fleet share: a byte for the format of the content, and a
 * CRC32C of everything else.
 */
public final class Frame {

    /** Size of the largest datagram that the platform allows, in bytes. */
    public static final int MAX_BYTES = 256;

    /** Size of the header, in bytes. */
    public static final int HEADER_BYTES = 5;

    private Frame() {}

    /** Writes the checksum into a datagram that is otherwise complete, and returns the datagram. */
    static byte[] withChecksum(byte[] bytes) {
        ByteBuffer.wrap(bytes).putInt(1, crc(bytes));
        return bytes;
    }

    /** Builds a datagram with a header for a format, followed by the content. */
    public static byte[] of(byte format, byte[] content) {
        return withChecksum(
                ByteBuffer.allocate(HEADER_BYTES + content.length)
                        .put(format)
                        .putInt(0)
                        .put(content)
                        .array());
    }

    /**
     * Returns the reason to drop a datagram that is expected in the given format, or null if its
     * size, checksum and format are valid.
     */
    public static DropReason dropReason(byte format, byte[] bytes) {
        if (bytes.length > MAX_BYTES || bytes.length <= HEADER_BYTES) {
            return DropReason.SIZE;
        }
        if (ByteBuffer.wrap(bytes).getInt(1) != crc(bytes)) {
            return DropReason.CHECKSUM;
        }
        return bytes[0] == format ? null : DropReason.VERSION;
    }

    private static int crc(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes[0]);
        crc.update(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES);
        return (int) crc.getValue();
    }
}
