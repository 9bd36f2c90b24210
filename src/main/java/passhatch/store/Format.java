package passhatch.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.zip.CRC32C;

/** Binary format of headers and records; {@code docs/recovery.md} describes it. */
final class Format {

    static final int VERSION = 1;

    /** Maximum size of a record's content in bytes. */
    static final int MAX_RECORD_BYTES = 1 << 16;

    /** Maximum size of a segment in bytes: a record that would exceed it starts a new segment. */
    static final int MAX_SEGMENT_BYTES = 1 << 22;

    /** Maximum size of the snapshot and the segments after it, in bytes. */
    static final long MAX_TOTAL_BYTES = 1L << 26;

    /** Maximum size of an owner's name, in bytes of UTF-8. */
    static final int MAX_OWNER_BYTES = 64;

    /** The kind of a mark; the kinds of users are above it. */
    static final int MARK_KIND = 0;

    private static final int SEGMENT_MAGIC = 0x4c57_5347;
    private static final int SNAPSHOT_MAGIC = 0x4c57_534e;

    /** Magic, version, owner's length and bytes, epoch, first record, CRC. */
    static final int HEADER_BYTES = 4 + 2 + 2 + MAX_OWNER_BYTES + 8 + 8 + 4;

    /** Length, sequence, kind, CRC. */
    static final int RECORD_HEADER_BYTES = 4 + 8 + 2 + 4;

    private static final String SEGMENT_PREFIX = "segment-";
    private static final String SNAPSHOT_PREFIX = "snapshot-";

    private Format() {}

    /**
     * Header of a segment or snapshot.
     *
     * @param epoch of the process that wrote it
     * @param sequence first record of a segment, or last record that a snapshot includes
     */
    record Header(boolean snapshot, int version, String owner, long epoch, long sequence) {}

    /** A decoded record, with the offset of the next one. */
    record StoredRecord(long sequence, int kind, byte[] bytes, int nextOffset) {}

    static String segmentName(long firstSequence) {
        return SEGMENT_PREFIX + String.format(Locale.ROOT, "%016x", firstSequence);
    }

    static String snapshotName(long lastSequence) {
        return SNAPSHOT_PREFIX + String.format(Locale.ROOT, "%016x", lastSequence);
    }

    /** Returns the sequence number in a file name, or -1 for other files. */
    static long sequenceInName(String name, boolean ofSnapshot) {
        String prefix = ofSnapshot ? SNAPSHOT_PREFIX : SEGMENT_PREFIX;
        String digits = name.startsWith(prefix) ? name.substring(prefix.length()) : "";
        return digits.matches("[0-7][0-9a-f]{15}") ? Long.parseLong(digits, 16) : -1;
    }

    static ByteBuffer encodeHeader(Header header) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES);
        byte[] owner = header.owner().getBytes(StandardCharsets.UTF_8);
        out.putInt(header.snapshot() ? SNAPSHOT_MAGIC : SEGMENT_MAGIC)
                .putShort((short) header.version())
                .putShort((short) owner.length)
                .put(Arrays.copyOf(owner, MAX_OWNER_BYTES))
                .putLong(header.epoch())
                .putLong(header.sequence());
        return out.putInt(computeCrc(out.array(), 0, out.position())).flip();
    }

    /** Decodes the header of a file; null if there is no valid one. */
    static Header decodeHeader(byte[] file) {
        if (file.length < HEADER_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(file);
        int magic = in.getInt();
        int version = in.getShort();
        int ownerBytes = in.getShort();
        if (in.getInt(HEADER_BYTES - 4) != computeCrc(file, 0, HEADER_BYTES - 4)
                || ownerBytes < 0
                || ownerBytes > MAX_OWNER_BYTES
                || magic != SEGMENT_MAGIC && magic != SNAPSHOT_MAGIC) {
            return null;
        }
        String owner = new String(file, in.position(), ownerBytes, StandardCharsets.UTF_8);
        in.position(in.position() + MAX_OWNER_BYTES);
        return new Header(magic == SNAPSHOT_MAGIC, version, owner, in.getLong(), in.getLong());
    }

    static int recordSize(byte[] content) {
        return RECORD_HEADER_BYTES + content.length;
    }

    static void putRecord(ByteBuffer out, long sequence, int kind, byte[] content) {
        int start = out.position();
        out.putInt(content.length).putLong(sequence).putShort((short) kind);
        CRC32C crc = new CRC32C();
        crc.update(out.array(), start, out.position() - start);
        crc.update(content);
        out.putInt((int) crc.getValue()).put(content);
    }

    /** Decodes the record at an offset; null if there is no valid one. */
    static StoredRecord readRecord(byte[] file, int offset) {
        if (offset < 0 || file.length - offset < RECORD_HEADER_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(file, offset, file.length - offset);
        int length = in.getInt();
        long sequence = in.getLong();
        int kind = in.getShort();
        if (length < 0
                || length > MAX_RECORD_BYTES
                || length > file.length - offset - RECORD_HEADER_BYTES
                || sequence < 0
                || kind < 0) {
            return null;
        }
        CRC32C crc = new CRC32C();
        crc.update(file, offset, RECORD_HEADER_BYTES - 4);
        crc.update(file, offset + RECORD_HEADER_BYTES, length);
        return in.getInt() != (int) crc.getValue()
                ? null
                : new StoredRecord(
                        sequence,
                        kind,
                        Arrays.copyOfRange(
                                file,
                                offset + RECORD_HEADER_BYTES,
                                offset + RECORD_HEADER_BYTES + length),
                        offset + RECORD_HEADER_BYTES + length);
    }

    private static int computeCrc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
