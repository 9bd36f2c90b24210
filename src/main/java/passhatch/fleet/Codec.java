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
 * Datagrams as bytes: a version, a CRC32C of the rest, and the rest as a CBOR array. Within a
 * version fields may be added at the end of an array, and who does not know them passes over them,
 * so that two versions of the program can live together.
 */
final class Codec {

    /** The version that this program speaks and understands. */
    static final byte VERSION = 1;

    private static final int FIELDS = 8;
    private static final int FACT_FIELDS = 7;
    private static final int MOST_FACTS = 32;
    private static final Message.Kind[] KINDS = Message.Kind.values();
    private static final Status[] STATUSES = Status.values();
    private static final CBORFactory CBOR = new CBORFactory();

    /** Facts and labels come again and again; all memberships in one process share them. */
    private static final Canonical<Fact> FACTS = new Canonical<>(4096);

    private static final Canonical<String> LABELS = new Canonical<>(64);

    /** Why a datagram was not taken. */
    static final class Rejected extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient Drop why;

        Rejected(Drop why) {
            super(why.name(), null, false, false);
            this.why = why;
        }

        Drop why() {
            return why;
        }
    }

    private final String fleet;

    /** For datagrams of one fleet. */
    Codec(String fleet) {
        this.fleet = fleet;
    }

    /** Bytes that a message takes without its facts, at most. */
    int sizeWithoutFacts(Message m) {
        // Two for the head of the list of facts, where there are 24 or more.
        return Frame.HEAD
                + 1
                + text(fleet)
                + 1
                + number(m.number())
                + text(m.target())
                + number(m.node())
                + (m.digests().length == 0 ? 1 : 2 + 4 * m.digests().length)
                + size(m.sender())
                + 2;
    }

    /** Bytes that a fact takes. */
    static int size(Fact f) {
        int size =
                1
                        + 1
                        + text(f.name())
                        + number(f.incarnation().epoch())
                        + number(f.incarnation().life())
                        + number(f.incarnation().refutation())
                        + number(f.number());
        return size
                + switch (f.status()) {
                    case ALIVE, LEFT -> text(f.version()) + text(f.roles());
                    case SUSPECT -> 1 + 2 * f.accusers().size();
                    case FAILED -> 0;
                };
    }

    private static int text(String text) {
        return text.length() + (text.length() < 24 ? 1 : 2);
    }

    private static int number(long value) {
        long magnitude = value < 0 ? ~value : value;
        return magnitude < 24
                ? 1
                : magnitude < 1L << 8 ? 2 : magnitude < 1L << 16 ? 3 : magnitude < 1L << 32 ? 5 : 9;
    }

    byte[] encode(Message m) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(Frame.MOST_BYTES);
        out.write(VERSION);
        out.writeBytes(new byte[Frame.HEAD - 1]);
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            cbor.writeStartArray(null, FIELDS);
            cbor.writeString(fleet);
            cbor.writeNumber(m.kind().ordinal());
            cbor.writeNumber(m.number());
            cbor.writeString(m.target());
            cbor.writeNumber(m.node());
            ByteBuffer digests = ByteBuffer.allocate(4 * m.digests().length);
            for (int digest : m.digests()) {
                digests.putInt(digest);
            }
            cbor.writeBinary(digests.array());
            write(cbor, m.sender());
            cbor.writeStartArray(null, m.facts().size());
            for (Fact fact : m.facts()) {
                write(cbor, fact);
            }
            cbor.writeEndArray();
            cbor.writeEndArray();
        } catch (IOException cannotBe) {
            throw new IllegalStateException(cannotBe);
        }
        return Frame.sealed(out.toByteArray());
    }

    private static void write(CBORGenerator cbor, Fact f) throws IOException {
        int more = f.status() == Status.FAILED ? 0 : f.status() == Status.SUSPECT ? 1 : 2;
        cbor.writeStartArray(null, FACT_FIELDS - 1 + more);
        cbor.writeNumber(f.status().ordinal());
        cbor.writeString(f.name());
        cbor.writeNumber(f.incarnation().epoch());
        cbor.writeNumber(f.incarnation().life());
        cbor.writeNumber(f.incarnation().refutation());
        cbor.writeNumber(f.number());
        if (f.status() == Status.SUSPECT) {
            ByteBuffer accusers = ByteBuffer.allocate(2 * f.accusers().size());
            f.accusers().forEach(a -> accusers.putShort(a.shortValue()));
            cbor.writeBinary(accusers.array());
        } else if (more == 2) {
            cbor.writeString(f.version());
            cbor.writeString(f.roles());
        }
        cbor.writeEndArray();
    }

    /** Reads a datagram; whatever it is, the answer is a message within its bounds or a reason. */
    Message decode(byte[] bytes) throws Rejected {
        Drop fault = Frame.fault(VERSION, bytes);
        if (fault != null) {
            throw new Rejected(fault);
        }
        try (JsonParser cbor = CBOR.createParser(bytes, Frame.HEAD, bytes.length - Frame.HEAD)) {
            return message(new CborReader(cbor));
        } catch (IOException notCbor) {
            throw new Rejected(Drop.FORM);
        }
    }

    private Message message(CborReader cbor) throws IOException, Rejected {
        cbor.begin();
        if (!fleet.equals(cbor.label())) {
            throw new Rejected(Drop.FLEET);
        }
        Message.Kind kind = KINDS[cbor.integer(0, KINDS.length - 1)];
        int number = cbor.integer(Integer.MIN_VALUE, Integer.MAX_VALUE);
        String target = cbor.text();
        CborReader.require(target.isEmpty() || Names.isName(target));
        boolean sync = kind == Message.Kind.SYNC;
        int node =
                cbor.integer(
                        sync ? Digests.ROOT : 0, (sync ? Digests.CHILDREN : Digests.LEAVES) - 1);
        byte[] digestBytes = cbor.binary();
        CborReader.require(digestBytes.length == (sync ? Integer.BYTES * Digests.CHILDREN : 0));
        int[] digests = new int[digestBytes.length / Integer.BYTES];
        ByteBuffer.wrap(digestBytes).asIntBuffer().get(digests);
        cbor.begin();
        Fact sender = fact(cbor);
        CborReader.require(sender.status() == Status.ALIVE || sender.status() == Status.LEFT);
        cbor.begin();
        List<Fact> facts = new ArrayList<>();
        while (cbor.beginOrEnd()) {
            CborReader.require(facts.size() < MOST_FACTS);
            facts.add(fact(cbor));
        }
        cbor.passOver();
        cbor.end();
        return new Message(kind, number, target, node, digests, sender, facts);
    }

    private static Fact fact(CborReader cbor) throws IOException {
        Status status = STATUSES[cbor.integer(0, STATUSES.length - 1)];
        String name = cbor.text();
        CborReader.require(Names.isName(name));
        Incarnation incarnation =
                new Incarnation(
                        cbor.number(0, Long.MAX_VALUE),
                        cbor.integer(Integer.MIN_VALUE, Integer.MAX_VALUE),
                        cbor.integer(0, Integer.MAX_VALUE));
        int number = cbor.integer(-1, Integer.MAX_VALUE);
        List<Integer> accusers = List.of();
        String version = "";
        String roles = "";
        if (status == Status.SUSPECT) {
            ByteBuffer hashes = ByteBuffer.wrap(cbor.binary());
            CborReader.require(
                    hashes.remaining() % 2 == 0 && hashes.remaining() <= 2 * Fact.MOST_ACCUSERS);
            accusers = new ArrayList<>(Fact.MOST_ACCUSERS);
            while (hashes.hasRemaining()) {
                accusers.add((int) hashes.getShort());
            }
        } else if (status != Status.FAILED) {
            version = LABELS.of(cbor.label());
            roles = LABELS.of(cbor.label());
        }
        cbor.passOver();
        return FACTS.of(new Fact(status, name, incarnation, number, version, roles, accusers));
    }
}
