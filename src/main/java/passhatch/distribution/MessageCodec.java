package passhatch.distribution;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import passhatch.distribution.Message.Ack;
import passhatch.distribution.Message.Append;
import passhatch.distribution.Message.Appended;
import passhatch.distribution.Message.Behind;
import passhatch.distribution.Message.Delta;
import passhatch.distribution.Message.LogPart;
import passhatch.distribution.Message.LogRequest;
import passhatch.distribution.Message.Poll;
import passhatch.distribution.Message.Prepare;
import passhatch.distribution.Message.Prepared;
import passhatch.distribution.Message.SnapshotPart;
import passhatch.fleet.CborReader;
import passhatch.fleet.DropReason;
import passhatch.fleet.Frame;
import passhatch.fleet.Names;

/**
 * Encodes and decodes the messages of the distribution protocol. Each message is sent as one
 * datagram, a frame that contains a CBOR array. Later versions of the program may add fields at the
 * end of an array; decoding ignores fields that it does not know.
 */
public final class MessageCodec {

    /**
     * The first byte of a datagram of the distribution protocol; datagrams of membership and duties
     * begin with other values.
     */
    public static final byte FORMAT = 3;

    private static final CBORFactory CBOR = new CBORFactory();
    private static final long MAX_VERSION = Long.MAX_VALUE - 1;

    /** Kinds of messages; the ordinal of a kind is its number on the wire. */
    private enum Kind {
        PREPARE,
        PREPARED,
        LOG_REQUEST,
        LOG_PART,
        APPEND,
        APPENDED,
        BEHIND,
        POLL,
        ACK,
        DELTA,
        SNAPSHOT_PART
    }

    /**
     * The result of decoding a datagram: either the message, or the reason why the datagram is
     * dropped. The other component is null.
     */
    public record Read(Message message, DropReason dropReason) {}

    private MessageCodec() {}

    /** Encodes a message as a datagram that only members of the given fleet accept. */
    public static byte[] encode(String fleet, Message message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(Frame.MAX_BYTES);
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            cbor.writeStartArray();
            cbor.writeString(fleet);
            writeMessage(cbor, message);
            cbor.writeEndArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return Frame.of(FORMAT, out.toByteArray());
    }

    private static void writeMessage(CBORGenerator cbor, Message message) throws IOException {
        if (message instanceof Prepare prepare) {
            writeKindAndEpoch(cbor, Kind.PREPARE, prepare.epoch());
            writeNumbers(cbor, prepare.term());
        } else if (message instanceof Prepared prepared) {
            writeKindAndEpoch(cbor, Kind.PREPARED, prepared.epoch());
            writeNumbers(cbor, prepared.term(), prepared.promisedTerm());
            writeNumbers(
                    cbor, prepared.lastVersion(), prepared.lastTerm(), prepared.committedVersion());
        } else if (message instanceof LogRequest request) {
            writeKindAndEpoch(cbor, Kind.LOG_REQUEST, request.epoch());
            writeNumbers(cbor, request.term(), request.afterVersion());
        } else if (message instanceof LogPart part) {
            writeKindAndEpoch(cbor, Kind.LOG_PART, part.epoch());
            writeNumbers(
                    cbor,
                    part.term(),
                    part.previousVersion(),
                    part.previousTerm(),
                    part.lastVersion());
            writeEntries(cbor, part.entries());
        } else if (message instanceof Append append) {
            writeKindAndEpoch(cbor, Kind.APPEND, append.epoch());
            writeNumbers(
                    cbor,
                    append.term(),
                    append.committedVersion(),
                    clampStateAge(append.stateAgeUs()));
            writeNumbers(cbor, append.previousVersion(), append.previousTerm());
            writeEntries(cbor, append.entries());
        } else if (message instanceof Appended appended) {
            writeKindAndEpoch(cbor, Kind.APPENDED, appended.epoch());
            writeNumbers(cbor, appended.term(), appended.version());
            cbor.writeBoolean(appended.accepted());
            cbor.writeBoolean(appended.voting());
        } else if (message instanceof Behind behind) {
            writeKindAndEpoch(cbor, Kind.BEHIND, behind.epoch());
            writeNumbers(cbor, behind.term());
        } else {
            writeFollowerMessage(cbor, message);
        }
    }

    private static void writeFollowerMessage(CBORGenerator cbor, Message message)
            throws IOException {
        if (message instanceof Poll poll) {
            writeKindAndEpoch(cbor, Kind.POLL, poll.epoch());
            writeNumbers(cbor, poll.version());
            cbor.writeString(poll.cursor());
            cbor.writeBinary(poll.filter().encode());
            cbor.writeString(poll.name());
        } else if (message instanceof Ack ack) {
            writeKindAndEpoch(cbor, Kind.ACK, ack.epoch());
            writeNumbers(cbor, ack.version());
        } else if (message instanceof Delta delta) {
            writeKindAndEpoch(cbor, Kind.DELTA, delta.epoch());
            writeNumbers(
                    cbor,
                    delta.afterVersion(),
                    delta.uptoVersion(),
                    delta.uptoTerm(),
                    clampStateAge(delta.stateAgeUs()));
            writeEntries(cbor, delta.entries());
        } else if (message instanceof SnapshotPart part) {
            writeKindAndEpoch(cbor, Kind.SNAPSHOT_PART, part.epoch());
            writeNumbers(
                    cbor,
                    part.version(),
                    part.versionTerm(),
                    clampStateAge(part.stateAgeUs()),
                    part.afterKeyHash());
            cbor.writeBoolean(part.last());
            cbor.writeBoolean(part.moreInBurst());
            writeEntries(cbor, part.entries());
        }
    }

    private static void writeKindAndEpoch(CBORGenerator cbor, Kind kind, long epoch)
            throws IOException {
        cbor.writeNumber(kind.ordinal());
        cbor.writeNumber(epoch);
    }

    private static long clampStateAge(long ageUs) {
        return Math.max(0, Math.min(Integer.MAX_VALUE, ageUs));
    }

    private static void writeNumbers(CBORGenerator cbor, long... numbers) throws IOException {
        for (long number : numbers) {
            cbor.writeNumber(number);
        }
    }

    private static void writeEntries(CBORGenerator cbor, List<LogEntry> entries)
            throws IOException {
        cbor.writeStartArray(null, entries.size());
        for (LogEntry entry : entries) {
            cbor.writeStartArray(null, 4);
            writeNumbers(cbor, entry.version(), entry.term());
            cbor.writeString(entry.key());
            cbor.writeString(entry.value());
            cbor.writeEndArray();
        }
        cbor.writeEndArray();
    }

    /**
     * Decodes a datagram. The result is a message whose fields are within their bounds, or the
     * reason why the datagram is dropped.
     */
    public static Read decode(String fleet, byte[] bytes) {
        DropReason dropReason = Frame.dropReason(FORMAT, bytes);
        if (dropReason != null) {
            return new Read(null, dropReason);
        }
        try (JsonParser parser =
                CBOR.createParser(bytes, Frame.HEADER_BYTES, bytes.length - Frame.HEADER_BYTES)) {
            CborReader cbor = new CborReader(parser);
            cbor.beginArray();
            if (!fleet.equals(cbor.readText())) {
                return new Read(null, DropReason.FLEET);
            }
            Kind kind = Kind.values()[cbor.readInt(0, Kind.values().length - 1)];
            Message message = readMessage(cbor, kind, cbor.readLong(0, Integer.MAX_VALUE));
            cbor.skipToArrayEnd();
            return new Read(message, null);
        } catch (IOException | IllegalArgumentException malformed) {
            return new Read(null, DropReason.FORM);
        }
    }

    private static Message readMessage(CborReader cbor, Kind kind, long epoch) throws IOException {
        return switch (kind) {
            case PREPARE -> new Prepare(epoch, readTerm(cbor));
            case PREPARED ->
                    new Prepared(
                            epoch,
                            readTerm(cbor),
                            readTerm(cbor),
                            readVersion(cbor),
                            readTerm(cbor),
                            readVersion(cbor));
            case LOG_REQUEST -> new LogRequest(epoch, readTerm(cbor), readVersion(cbor));
            case LOG_PART ->
                    new LogPart(
                            epoch,
                            readTerm(cbor),
                            readVersion(cbor),
                            readTerm(cbor),
                            readVersion(cbor),
                            readEntries(cbor));
            case APPEND ->
                    new Append(
                            epoch,
                            readTerm(cbor),
                            readVersion(cbor),
                            readStateAge(cbor),
                            readVersion(cbor),
                            readTerm(cbor),
                            readEntries(cbor));
            case APPENDED -> {
                long term = readTerm(cbor);
                long version = readVersion(cbor);
                yield new Appended(epoch, term, cbor.readBoolean(), version, cbor.readBoolean());
            }
            case BEHIND -> new Behind(epoch, readTerm(cbor));
            case POLL -> readPoll(cbor, epoch);
            case ACK -> new Ack(epoch, readVersion(cbor));
            case DELTA ->
                    new Delta(
                            epoch,
                            readVersion(cbor),
                            readVersion(cbor),
                            readTerm(cbor),
                            readStateAge(cbor),
                            readEntries(cbor));
            case SNAPSHOT_PART ->
                    new SnapshotPart(
                            epoch,
                            readVersion(cbor),
                            readTerm(cbor),
                            readStateAge(cbor),
                            cbor.readInt(Integer.MIN_VALUE, Integer.MAX_VALUE),
                            cbor.readBoolean(),
                            cbor.readBoolean(),
                            readEntries(cbor));
        };
    }

    private static Message readPoll(CborReader cbor, long epoch) throws IOException {
        long version = readVersion(cbor);
        String cursor = cbor.readTextOrNull();
        CborReader.require(cursor == null || ConfigKey.isKey(cursor));
        ServiceFilter filter = ServiceFilter.decode(cbor.readBytes());
        String name = cbor.readText();
        CborReader.require(Names.isName(name));
        return new Poll(epoch, version, cursor, filter, name);
    }

    private static long readTerm(CborReader cbor) throws IOException {
        return cbor.readLong(0, MAX_VERSION);
    }

    private static long readVersion(CborReader cbor) throws IOException {
        return cbor.readLong(0, MAX_VERSION);
    }

    private static long readStateAge(CborReader cbor) throws IOException {
        return cbor.readLong(0, Integer.MAX_VALUE);
    }

    private static List<LogEntry> readEntries(CborReader cbor) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        cbor.beginArray();
        while (cbor.beginArrayOrEnd()) {
            long version = cbor.readLong(1, MAX_VERSION);
            long term = cbor.readLong(1, MAX_VERSION);
            String key = cbor.readText();
            String value = cbor.readTextOrNull();
            CborReader.require(key.isEmpty() ? value == null : ConfigKey.isKey(key));
            CborReader.require(value == null || ConfigKey.isValue(value));
            entries.add(new LogEntry(version, term, key, value));
            cbor.skipToArrayEnd();
        }
        return List.copyOf(entries);
    }
}
