package passhatch.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Whatever arrives, it is read within bounds or rejected; whatever is sent fits and is read as it
 * was meant.
 */
class CodecTest {

    private final Codec codec = new Codec("jackson-claims-1");
    private final SplittableRandom random = new SplittableRandom(5);

    private String text(int most) {
        StringBuilder text = new StringBuilder();
        for (int i = 1 + random.nextInt(most); i > 0; i--) {
            text.append("abcXYZ019._-".charAt(random.nextInt(12)));
        }
        return text.toString();
    }

    private int anySize() {
        return random.nextInt() >> random.nextInt(32);
    }

    private Fact fact(Status status) {
        Incarnation incarnation =
                new Incarnation(
                        (random.nextLong() >>> 1) >> random.nextInt(63),
                        anySize(),
                        anySize() & Integer.MAX_VALUE);
        int number = random.nextInt(5000) - 1;
        List<Integer> accusers = new ArrayList<>();
        if (status == Status.SUSPECT) {
            random.ints(random.nextInt(Fact.MOST_ACCUSERS + 1))
                    .forEach(i -> accusers.add((int) (short) i));
        }
        boolean speaks = status == Status.ALIVE || status == Status.LEFT;
        return new Fact(
                status,
                text(Names.MOST_NAME),
                incarnation,
                number,
                speaks ? text(Names.MOST_LABEL) : "",
                speaks ? text(Names.MOST_LABEL) : "",
                accusers);
    }

    private Message message(Message.Kind kind) {
        boolean sync = kind == Message.Kind.SYNC;
        Message bare =
                new Message(
                        kind,
                        anySize(),
                        random.nextBoolean() ? "" : text(Names.MOST_NAME),
                        sync ? random.nextInt(17) - 1 : random.nextInt(256),
                        sync ? random.ints(16).toArray() : new int[0],
                        fact(random.nextBoolean() ? Status.ALIVE : Status.LEFT),
                        new ArrayList<>());
        int room = Frame.MOST_BYTES - codec.sizeWithoutFacts(bare);
        for (Fact f = fact(status()); Codec.size(f) <= room; f = fact(status())) {
            room -= Codec.size(f);
            bare.facts().add(f);
        }
        return bare;
    }

    private Status status() {
        return Status.values()[random.nextInt(Status.values().length)];
    }

    /**
     * Sizes are told exactly, and a fact of any size has room beside anything that is not a
     * comparison.
     */
    @Test
    void whatIsSentFitsAndIsReadAgain() throws Codec.Rejected {
        for (int i = 0; i < 20_000; i++) {
            Message.Kind kind = Message.Kind.values()[i % Message.Kind.values().length];
            Message sent = message(kind);
            byte[] bytes = codec.encode(sent);
            int told =
                    codec.sizeWithoutFacts(sent)
                            + sent.facts().stream().mapToInt(Codec::size).sum();
            assertTrue(
                    bytes.length <= told && told <= bytes.length + 1 && told <= Frame.MOST_BYTES,
                    bytes.length + " bytes, told " + told);
            Message read = codec.decode(bytes);
            assertEquals(sent.sender(), read.sender());
            assertEquals(sent.facts(), read.facts());
            assertArrayEquals(sent.digests(), read.digests());
            assertEquals(
                    List.of(sent.kind(), sent.number(), sent.target(), sent.node()),
                    List.of(read.kind(), read.number(), read.target(), read.node()));
        }
    }

    @Test
    void theLargestHeadLeavesRoomForTheLargestFact() {
        String name = "n".repeat(Names.MOST_NAME);
        String label = "l".repeat(Names.MOST_LABEL);
        Fact largest =
                new Fact(
                        Status.ALIVE,
                        name,
                        new Incarnation(0xFFFFFFFFL, Integer.MIN_VALUE, 0xFFFF),
                        5000,
                        label,
                        label,
                        List.of());
        int head =
                codec.sizeWithoutFacts(
                        new Message(
                                Message.Kind.PING,
                                Integer.MIN_VALUE,
                                "",
                                0,
                                new int[0],
                                largest,
                                List.of()));
        assertTrue(
                head + Codec.size(largest) <= Frame.MOST_BYTES, head + " + " + Codec.size(largest));
        Message sync = new Message(Message.Kind.SYNC, 0, "", 15, new int[16], largest, List.of());
        assertTrue(codec.sizeWithoutFacts(sync) <= Frame.MOST_BYTES);
    }

    @Test
    void anythingElseIsRejectedWithItsReason() {
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes;
            if (i % 4 == 0) {
                bytes = new byte[random.nextInt(300)];
                random.nextBytes(bytes);
            } else {
                bytes = codec.encode(message(Message.Kind.values()[i % 8]));
                for (int n = 1 + random.nextInt(4); n > 0; n--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
                bytes =
                        random.nextInt(3) == 0
                                ? Arrays.copyOf(bytes, random.nextInt(bytes.length))
                                : bytes;
            }
            if (i % 2 == 0 && bytes.length > 5) {
                // What gets past the checksum is read as carefully.
                Frame.sealed(bytes);
            }
            try {
                Message read = codec.decode(bytes);
                assertTrue(
                        Names.isName(read.sender().name())
                                && read.facts().size() <= Frame.MOST_BYTES / 8);
            } catch (Codec.Rejected rejected) {
                assertTrue(rejected.why() != null);
            }
        }
        byte[] good = codec.encode(message(Message.Kind.GOSSIP));
        assertEquals(
                Drop.FLEET,
                assertThrows(Codec.Rejected.class, () -> new Codec("another").decode(good)).why());
        good[9] ^= 1;
        assertEquals(
                Drop.CHECKSUM, assertThrows(Codec.Rejected.class, () -> codec.decode(good)).why());
    }

    /** A later program adds fields at the ends; this one passes over them. */
    @Test
    void fieldsOfALaterProgramArePassedOver() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(new byte[] {Codec.VERSION, 0, 0, 0, 0});
        try (CBORGenerator cbor = new CBORFactory().createGenerator(out)) {
            cbor.writeStartArray(null, 10);
            cbor.writeString("jackson-claims-1");
            cbor.writeNumber(Message.Kind.GOSSIP.ordinal());
            cbor.writeNumber(0);
            cbor.writeString("");
            cbor.writeNumber(0);
            cbor.writeBinary(new byte[0]);
            cbor.writeStartArray(null, 10);
            cbor.writeNumber(Status.ALIVE.ordinal());
            cbor.writeString("n1");
            cbor.writeNumber(7L);
            cbor.writeNumber(3);
            cbor.writeNumber(0);
            cbor.writeNumber(1);
            cbor.writeString("0.2.0");
            cbor.writeString("proxy");
            cbor.writeString("of a later program");
            cbor.writeNumber(12);
            cbor.writeEndArray();
            cbor.writeStartArray(null, 0);
            cbor.writeEndArray();
            cbor.writeStartArray(null, 1);
            cbor.writeNumber(1);
            cbor.writeEndArray();
            cbor.writeBoolean(true);
            cbor.writeEndArray();
        }
        byte[] bytes = out.toByteArray();
        assertEquals("n1", codec.decode(Frame.sealed(bytes)).sender().name());
    }
}
