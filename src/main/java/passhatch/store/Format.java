package passhatch.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.zip.CRC32C;

/** Binary format of file headers and records, as described in {@code docs/recovery.md}. */
final class Format {

    static final int VERSION = 1;

    /** Maximum size of a record's content in bytes. */
    static final int MAX_RECORD_BYTES = 1 << 16;

    /**
     * Maximum size of a segment in bytes. Records that would make a segment larger are written to a
     * new segment.
     */
    static final int MAX_SEGMENT_BYTES = 1 << 22;

    /** Maximum total size of the snapshot and the segments after it, in bytes. */
    static final long MAX_TOTAL_BYTES = 1L << 26;

    /** Maximum size of an owner's name, in bytes of UTF-8. */
    static final int MAX_OWNER_BYTES = 64;

    /**
     * The kind of a mark. A mark is a record without content, which confirms that the records
     * before it were forced to disk. The kinds that callers choose are higher.
     */
    static final int MARK_KIND = 0;

    private static final int SEGMENT_MAGIC = 0x4c57_5347;
    private static final int SNAPSHOT_MAGIC = 0x4c57_534e;

    /**
     * Size of a file header: magic number, version, length and bytes of the owner's name, epoch,
     * sequence number and CRC.
     */
    static final int HEADER_BYTES = 4 + 2 + 2 + MAX_OWNER_BYTES + 8 + 8 + 4;

    /** Size of a record header: length of the content, sequence number, kind and CRC. */
    static final int RECORD_HEADER_BYTES = 4 + 8 + 2 + 4;

    private static final String SEGMENT_PREFIX = "segment-";
    private static final String SNAPSHOT_PREFIX = "snapshot-";

    private Format() {}

    /**
     * Header of a segment file or snapshot file.
     *
     * @param snapshot whether the file is a snapshot
     * @param version format version of the file
     * @param owner name of the owner of the store
     * @param epoch epoch of the store when the file was written
     * @param sequence in a segment, the sequence number of its first record; in a snapshot, the
     *     sequence number of the last record that the snapshot replaces
     */
    record Header(boolean snapshot, int version, String owner, long epoch, long sequence) {}

    /** A decoded record, with the offset in the file at which the next record begins. */
    record StoredRecord(long sequence, int kind, byte[] bytes, int nextOffset) {}

    static String segmentName(long firstSequence) {
        return SEGMENT_PREFIX + String.format(Locale.ROOT, "%016x", firstSequence);
    }

    static String snapshotName(long lastSequence) {
        return SNAPSHOT_PREFIX + String.format(Locale.ROOT, "%016x", lastSequence);
    }

    /**
     * Returns the sequence number in the name of a snapshot or segment; -1 if the name is not that
     * of such a file.
     */
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

    /**
     * Returns the decoded header of a file; null if the file does not begin with a valid header.
     */
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

    /** Returns the decoded record at an offset; null if there is no valid record. */
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
