package passhatch.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.zip.CRC32C;

/** The bytes of heads and records; {@code docs/recovery.md} has them in words. */
final class Format {

    static final int VERSION = 1;

    /** The most bytes of a record's content. */
    static final int MOST_RECORD = 1 << 16;

    /** Of a segment: it is ended before a record that would make it larger. */
    static final int MOST_SEGMENT = 1 << 22;

    /** Of the snapshot and the segments after it. */
    static final long MOST_ALL = 1L << 26;

    /** Of an owner's name in UTF-8. */
    static final int MOST_OWNER = 64;

    /** The kind of a mark; users' kinds are above it. */
    static final int MARK = 0;

    private static final int SEGMENT_MAGIC = 0x4c57_5347;
    private static final int SNAPSHOT_MAGIC = 0x4c57_534e;

    /** Magic, version, owner's length and bytes, epoch, first record, CRC. */
    static final int HEAD_BYTES = 4 + 2 + 2 + MOST_OWNER + 8 + 8 + 4;

    /** Length, sequence, kind, CRC. */
    static final int RECORD_HEAD = 4 + 8 + 2 + 4;

    private static final String SEGMENT = "segment-";
    private static final String SNAPSHOT = "snapshot-";

    private Format() {}

    /**
     * What a segment or snapshot begins with.
     *
     * @param epoch of the process that wrote it
     * @param first record of a segment, or the one that a snapshot is up to
     */
    record Head(boolean snapshot, int version, String owner, long epoch, long first) {}

    /** A record that was read, and where the next begins. */
    record Read(long sequence, int kind, byte[] bytes, int next) {}

    static String segment(long first) {
        return SEGMENT + String.format(Locale.ROOT, "%016x", first);
    }

    static String snapshot(long upTo) {
        return SNAPSHOT + String.format(Locale.ROOT, "%016x", upTo);
    }

    /** The number in a file's name, or -1 where it is no such file. */
    static long number(String name, boolean ofSnapshot) {
        String prefix = ofSnapshot ? SNAPSHOT : SEGMENT;
        String digits = name.startsWith(prefix) ? name.substring(prefix.length()) : "";
        return digits.matches("[0-7][0-9a-f]{15}") ? Long.parseLong(digits, 16) : -1;
    }

    static ByteBuffer head(Head head) {
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES);
        byte[] owner = head.owner().getBytes(StandardCharsets.UTF_8);
        out.putInt(head.snapshot() ? SNAPSHOT_MAGIC : SEGMENT_MAGIC)
                .putShort((short) head.version())
                .putShort((short) owner.length)
                .put(Arrays.copyOf(owner, MOST_OWNER))
                .putLong(head.epoch())
                .putLong(head.first());
        return out.putInt(crc(out.array(), 0, out.position())).flip();
    }

    /** The head of a file, or null where there is none that checks. */
    static Head readHead(byte[] file) {
        if (file.length < HEAD_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(file);
        int magic = in.getInt();
        int version = in.getShort();
        int ownerBytes = in.getShort();
        if (in.getInt(HEAD_BYTES - 4) != crc(file, 0, HEAD_BYTES - 4)
                || ownerBytes < 0
                || ownerBytes > MOST_OWNER
                || magic != SEGMENT_MAGIC && magic != SNAPSHOT_MAGIC) {
            return null;
        }
        String owner = new String(file, in.position(), ownerBytes, StandardCharsets.UTF_8);
        in.position(in.position() + MOST_OWNER);
        return new Head(magic == SNAPSHOT_MAGIC, version, owner, in.getLong(), in.getLong());
    }

    static int size(byte[] content) {
        return RECORD_HEAD + content.length;
    }

    static void put(ByteBuffer out, long sequence, int kind, byte[] content) {
        int at = out.position();
        out.putInt(content.length).putLong(sequence).putShort((short) kind);
        CRC32C crc = new CRC32C();
        crc.update(out.array(), at, out.position() - at);
        crc.update(content);
        out.putInt((int) crc.getValue()).put(content);
    }

    /** The record at a place, or null where there is none that checks. */
    static Read read(byte[] file, int at) {
        if (at < 0 || file.length - at < RECORD_HEAD) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(file, at, file.length - at);
        int length = in.getInt();
        long sequence = in.getLong();
        int kind = in.getShort();
        if (length < 0
                || length > MOST_RECORD
                || length > file.length - at - RECORD_HEAD
                || sequence < 0
                || kind < 0) {
            return null;
        }
        CRC32C crc = new CRC32C();
        crc.update(file, at, RECORD_HEAD - 4);
        crc.update(file, at + RECORD_HEAD, length);
        return in.getInt() != (int) crc.getValue()
                ? null
                : new Read(
                        sequence,
                        kind,
                        Arrays.copyOfRange(file, at + RECORD_HEAD, at + RECORD_HEAD + length),
                        at + RECORD_HEAD + length);
    }

    private static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
