package passhatch.fleet;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * What all datagrams of the fleet begin with: a byte that says which format follows, and a CRC32C
 * of the rest.
 */
public final class Frame {

    /** The most bytes of a datagram on the platform. */
    public static final int MAX_BYTES = 256;

    /** Bytes before the content. */
    public static final int HEADER_BYTES = 5;

    private Frame() {}

    /** Puts the checksum into a datagram that is complete but for it. */
    static byte[] withChecksum(byte[] bytes) {
        ByteBuffer.wrap(bytes).putInt(1, crc(bytes));
        return bytes;
    }

    /** A datagram of this format with this content. */
    public static byte[] of(byte format, byte[] content) {
        return withChecksum(
                ByteBuffer.allocate(HEADER_BYTES + content.length)
                        .put(format)
                        .putInt(0)
                        .put(content)
                        .array());
    }

    /** Why a datagram cannot be of this format, or null. */
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
