package passhatch.fleet;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes messages as datagrams: a version byte, a CRC32C of everything else, and a CBOR array.
 * Within a version, fields may be added at the end of an array; readers skip fields that they do
 * not know, so that two releases of the program can interoperate.
 */
final class Codec {

    /** The format version that this program writes and reads. */
    static final byte VERSION = 1;

    /** Number of fields of a message. */
    private static final int MESSAGE_FIELDS = 8;

    /**
     * Number of fields of an update if one of them depends on the status. An update has none, one
     * or two such fields.
     */
    private static final int UPDATE_FIELDS = 7;

    private static final int MAX_UPDATES = 32;
    private static final Message.Type[] TYPES = Message.Type.values();
    private static final Status[] STATUSES = Status.values();
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * Lets all memberships in this process share equal updates, because the same update is received
     * many times.
     */
    private static final Interner<MemberUpdate> UPDATE_POOL = new Interner<>(4096);

    /**
     * Lets all memberships in this process share equal labels, because the same label is received
     * many times.
     */
    private static final Interner<String> LABEL_POOL = new Interner<>(64);

    /** Thrown when a datagram is rejected; gives the reason. */
    static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient DropReason reason;

        RejectedException(DropReason reason) {
            super(reason.name(), null, false, false);
            this.reason = reason;
        }

        DropReason reason() {
            return reason;
        }
    }

    private final String fleetName;

    /** Creates a codec for the datagrams of one fleet. */
    Codec(String fleetName) {
        this.fleetName = fleetName;
    }

    /** Returns an upper bound on the encoded size of a message without its updates, in bytes. */
    int sizeWithoutUpdates(Message message) {
        // The header of the list of updates takes two bytes if the list has 24 or more entries.
        return Frame.HEADER_BYTES
                + 1
                + textSize(fleetName)
                + 1
                + integerSize(message.sequenceNumber())
                + textSize(message.target())
                + integerSize(message.node())
                + (message.digests().length == 0 ? 1 : 2 + 4 * message.digests().length)
                + encodedSize(message.sender())
                + 2;
    }

    /** Returns the encoded size of an update, in bytes. */
    static int encodedSize(MemberUpdate update) {
        int size =
                1
                        + 1
                        + textSize(update.name())
                        + integerSize(update.incarnation().epoch())
                        + integerSize(update.incarnation().runId())
                        + integerSize(update.incarnation().refutation())
                        + integerSize(update.addressIndex());
        return size
                + switch (update.status()) {
                    case ALIVE, LEFT -> textSize(update.version()) + textSize(update.roles());
                    case SUSPECT -> 1 + 2 * update.reporters().size();
                    case FAILED -> 0;
                };
    }

    private static int textSize(String text) {
        return text.length() + (text.length() < 24 ? 1 : 2);
    }

    private static int integerSize(long value) {
        long magnitude = value < 0 ? ~value : value;
        return magnitude < 24
                ? 1
                : magnitude < 1L << 8 ? 2 : magnitude < 1L << 16 ? 3 : magnitude < 1L << 32 ? 5 : 9;
    }

    byte[] encode(Message message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(Frame.MAX_BYTES);
        out.write(VERSION);
        out.writeBytes(new byte[Frame.HEADER_BYTES - 1]);
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            cbor.writeStartArray(null, MESSAGE_FIELDS);
            cbor.writeString(fleetName);
            cbor.writeNumber(message.type().ordinal());
            cbor.writeNumber(message.sequenceNumber());
            cbor.writeString(message.target());
            cbor.writeNumber(message.node());
            ByteBuffer digests = ByteBuffer.allocate(4 * message.digests().length);
            for (int digest : message.digests()) {
                digests.putInt(digest);
            }
            cbor.writeBinary(digests.array());
            writeUpdate(cbor, message.sender());
            cbor.writeStartArray(null, message.updates().size());
            for (MemberUpdate update : message.updates()) {
                writeUpdate(cbor, update);
            }
            cbor.writeEndArray();
            cbor.writeEndArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return Frame.withChecksum(out.toByteArray());
    }

    private static void writeUpdate(CBORGenerator cbor, MemberUpdate update) throws IOException {
        int variableFields =
                update.status() == Status.FAILED ? 0 : update.status() == Status.SUSPECT ? 1 : 2;
        cbor.writeStartArray(null, UPDATE_FIELDS - 1 + variableFields);
        cbor.writeNumber(update.status().ordinal());
        cbor.writeString(update.name());
        cbor.writeNumber(update.incarnation().epoch());
        cbor.writeNumber(update.incarnation().runId());
        cbor.writeNumber(update.incarnation().refutation());
        cbor.writeNumber(update.addressIndex());
        if (update.status() == Status.SUSPECT) {
            ByteBuffer reporters = ByteBuffer.allocate(2 * update.reporters().size());
            update.reporters().forEach(reporter -> reporters.putShort(reporter.shortValue()));
            cbor.writeBinary(reporters.array());
        } else if (variableFields == 2) {
            cbor.writeString(update.version());
            cbor.writeString(update.roles());
        }
        cbor.writeEndArray();
    }

    /**
     * Decodes a datagram and checks that all fields are within their bounds. If the datagram is
     * invalid, throws {@link RejectedException} with the reason.
     */
    Message decode(byte[] bytes) throws RejectedException {
        DropReason rejection = Frame.dropReason(VERSION, bytes);
        if (rejection != null) {
            throw new RejectedException(rejection);
        }
        try (JsonParser cbor =
                CBOR.createParser(bytes, Frame.HEADER_BYTES, bytes.length - Frame.HEADER_BYTES)) {
            return readMessage(new CborReader(cbor));
        } catch (IOException notCbor) {
            throw new RejectedException(DropReason.FORM);
        }
    }

    private Message readMessage(CborReader cbor) throws IOException, RejectedException {
        cbor.beginArray();
        if (!fleetName.equals(cbor.readLabel())) {
            throw new RejectedException(DropReason.FLEET);
        }
        Message.Type type = TYPES[cbor.readInt(0, TYPES.length - 1)];
        int sequenceNumber = cbor.readInt(Integer.MIN_VALUE, Integer.MAX_VALUE);
        String target = cbor.readText();
        CborReader.require(target.isEmpty() || Names.isName(target));
        boolean sync = type == Message.Type.SYNC;
        int node =
                cbor.readInt(
                        sync ? Digests.ROOT : 0,
                        (sync ? Digests.CHILDREN_PER_NODE : Digests.LEAF_COUNT) - 1);
        byte[] digestBytes = cbor.readBytes();
        CborReader.require(
                digestBytes.length == (sync ? Integer.BYTES * Digests.CHILDREN_PER_NODE : 0));
        int[] digests = new int[digestBytes.length / Integer.BYTES];
        ByteBuffer.wrap(digestBytes).asIntBuffer().get(digests);
        cbor.beginArray();
        MemberUpdate sender = readUpdate(cbor);
        CborReader.require(sender.status() == Status.ALIVE || sender.status() == Status.LEFT);
        cbor.beginArray();
        List<MemberUpdate> updates = new ArrayList<>();
        while (cbor.beginArrayOrEnd()) {
            CborReader.require(updates.size() < MAX_UPDATES);
            updates.add(readUpdate(cbor));
        }
        cbor.skipToArrayEnd();
        cbor.requireEnd();
        return new Message(type, sequenceNumber, target, node, digests, sender, updates);
    }

    private static MemberUpdate readUpdate(CborReader cbor) throws IOException {
        Status status = STATUSES[cbor.readInt(0, STATUSES.length - 1)];
        String name = cbor.readText();
        CborReader.require(Names.isName(name));
        Incarnation incarnation =
                new Incarnation(
                        cbor.readLong(0, Long.MAX_VALUE),
                        cbor.readInt(Integer.MIN_VALUE, Integer.MAX_VALUE),
                        cbor.readInt(0, Integer.MAX_VALUE));
        int addressIndex = cbor.readInt(-1, Integer.MAX_VALUE);
        List<Integer> reporters = List.of();
        String version = "";
        String roles = "";
        if (status == Status.SUSPECT) {
            ByteBuffer hashes = ByteBuffer.wrap(cbor.readBytes());
            CborReader.require(
                    hashes.remaining() % 2 == 0
                            && hashes.remaining() <= 2 * MemberUpdate.MAX_REPORTERS);
            reporters = new ArrayList<>(MemberUpdate.MAX_REPORTERS);
            while (hashes.hasRemaining()) {
                reporters.add((int) hashes.getShort());
            }
        } else if (status != Status.FAILED) {
            version = LABEL_POOL.intern(cbor.readLabel());
            roles = LABEL_POOL.intern(cbor.readLabel());
        }
        cbor.skipToArrayEnd();
        return UPDATE_POOL.intern(
                new MemberUpdate(
                        status, name, incarnation, addressIndex, version, roles, reporters));
    }
}
