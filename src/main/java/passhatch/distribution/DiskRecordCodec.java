package passhatch.distribution;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import passhatch.distribution.DiskRecord.Appended;
import passhatch.distribution.DiskRecord.Applied;
import passhatch.distribution.DiskRecord.Committed;
import passhatch.distribution.DiskRecord.Content;
import passhatch.distribution.DiskRecord.Initialized;
import passhatch.distribution.DiskRecord.Promised;
import passhatch.distribution.DiskRecord.Reset;
import passhatch.fleet.CborReader;

/**
 * Encodes and decodes disk records. Each record is a CBOR array that begins with the format version
 * and the kind of the record. Later versions of the program may add fields at the end of an array;
 * decoding ignores fields that it does not know.
 */
public final class DiskRecordCodec {

    private static final int FORMAT_VERSION = 1;
    private static final long MAX_NUMBER = Long.MAX_VALUE - 1;
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * Kinds of records; the ordinal of a kind is its number on disk. FOUNDED is the kind of {@link
     * Initialized}.
     */
    private enum Kind {
        PROMISED,
        FOUNDED,
        APPENDED,
        COMMITTED,
        APPLIED,
        RESET,
        CONTENT
    }

    private DiskRecordCodec() {}

    /** Encodes a record. */
    public static byte[] encode(DiskRecord record) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            cbor.writeStartArray();
            cbor.writeNumber(FORMAT_VERSION);
            writeRecord(cbor, record);
            cbor.writeEndArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return out.toByteArray();
    }

    private static void writeRecord(CBORGenerator cbor, DiskRecord record) throws IOException {
        if (record instanceof Promised promised) {
            writeNumbers(cbor, Kind.PROMISED, promised.epoch(), promised.term());
        } else if (record instanceof Initialized initialization) {
            writeNumbers(cbor, Kind.FOUNDED, initialization.epoch());
        } else if (record instanceof Appended appended) {
            writeNumbers(cbor, Kind.APPENDED, appended.epoch());
            writeEntries(cbor, List.of(appended.entry()));
        } else if (record instanceof Committed committed) {
            writeNumbers(cbor, Kind.COMMITTED, committed.epoch(), committed.version());
        } else if (record instanceof Applied applied) {
            writeNumbers(
                    cbor, Kind.APPLIED, applied.epoch(), applied.uptoVersion(), applied.uptoTerm());
            writeEntries(cbor, applied.entries());
        } else if (record instanceof Reset reset) {
            writeNumbers(
                    cbor,
                    Kind.RESET,
                    reset.epoch(),
                    reset.version(),
                    reset.versionTerm(),
                    reset.minDeltaVersion());
        } else if (record instanceof Content content) {
            writeNumbers(cbor, Kind.CONTENT);
            writeEntries(cbor, content.entries());
        }
    }

    private static void writeNumbers(CBORGenerator cbor, Kind kind, long... numbers)
            throws IOException {
        cbor.writeNumber(kind.ordinal());
        for (long number : numbers) {
            cbor.writeNumber(number);
        }
    }

    private static void writeEntries(CBORGenerator cbor, List<LogEntry> entries)
            throws IOException {
        cbor.writeStartArray();
        for (LogEntry entry : entries) {
            cbor.writeStartArray();
            cbor.writeNumber(entry.version());
            cbor.writeNumber(entry.term());
            cbor.writeString(entry.key());
            cbor.writeString(entry.value());
            cbor.writeEndArray();
        }
        cbor.writeEndArray();
    }

    /**
     * Decodes a record.
     *
     * @throws IOException if the bytes are not a valid record, or have a newer format version
     */
    public static DiskRecord decode(byte[] bytes) throws IOException {
        try (JsonParser parser = CBOR.createParser(bytes)) {
            CborReader cbor = new CborReader(parser);
            cbor.beginArray();
            long version = cbor.readLong(1, Integer.MAX_VALUE);
            if (version != FORMAT_VERSION) {
                throw new IOException("a record of format " + version + ", of a newer program");
            }
            Kind kind = Kind.values()[cbor.readInt(0, Kind.values().length - 1)];
            DiskRecord record = readRecord(cbor, kind);
            cbor.skipToArrayEnd();
            return record;
        }
    }

    private static DiskRecord readRecord(CborReader cbor, Kind kind) throws IOException {
        return switch (kind) {
            case PROMISED -> new Promised(readNumber(cbor), readNumber(cbor));
            case FOUNDED -> new Initialized(readNumber(cbor));
            case APPENDED -> readAppended(cbor);
            case COMMITTED -> new Committed(readNumber(cbor), readNumber(cbor));
            case APPLIED ->
                    new Applied(
                            readNumber(cbor),
                            readNumber(cbor),
                            readNumber(cbor),
                            readEntries(cbor));
            case RESET ->
                    new Reset(
                            readNumber(cbor), readNumber(cbor), readNumber(cbor), readNumber(cbor));
            case CONTENT -> new Content(readEntries(cbor));
        };
    }

    private static Appended readAppended(CborReader cbor) throws IOException {
        long epoch = readNumber(cbor);
        List<LogEntry> entries = readEntries(cbor);
        CborReader.require(entries.size() == 1);
        return new Appended(epoch, entries.get(0));
    }

    private static long readNumber(CborReader cbor) throws IOException {
        return cbor.readLong(0, MAX_NUMBER);
    }

    private static List<LogEntry> readEntries(CborReader cbor) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        cbor.beginArray();
        while (cbor.beginArrayOrEnd()) {
            entries.add(
                    new LogEntry(
                            readNumber(cbor),
                            readNumber(cbor),
                            cbor.readText(),
                            cbor.readTextOrNull()));
            cbor.skipToArrayEnd();
        }
        return List.copyOf(entries);
    }
}
