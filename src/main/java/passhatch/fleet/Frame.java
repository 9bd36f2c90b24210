package passhatch.fleet;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The header that all datagrams of the fleet share: a byte for the format of the content, and a
 * CRC32C of everything else.
 */
public final class Frame {

    /** The largest datagram that the platform allows. */
    public static final int MAX_BYTES = 256;

    /** Size of the header. */
    public static final int HEADER_BYTES = 5;

    private Frame() {}

    /** Sets the checksum of a datagram that is otherwise complete, and returns it. */
    static byte[] withChecksum(byte[] bytes) {
        ByteBuffer.wrap(bytes).putInt(1, crc(bytes));
        return bytes;
    }

    /** Builds a datagram of this format with this content. */
    public static byte[] of(byte format, byte[] content) {
        return withChecksum(
                ByteBuffer.allocate(HEADER_BYTES + content.length)
                        .put(format)
                        .putInt(0)
                        .put(content)
                        .array());
    }

    /** Why a datagram is not a valid one of this format, or null if it is. */
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
