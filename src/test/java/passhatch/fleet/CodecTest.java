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
 * Any datagram is decoded within bounds or rejected, and any message encoded fits into a datagram
 * and decodes unchanged.
 */
class CodecTest {

    private final Codec codec = new Codec("jackson-claims-1");
    private final SplittableRandom random = new SplittableRandom(5);

    private String randomText(int maxLength) {
        StringBuilder text = new StringBuilder();
        for (int i = 1 + random.nextInt(maxLength); i > 0; i--) {
            text.append("abcXYZ019._-".charAt(random.nextInt(12)));
        }
        return text.toString();
    }

    private int randomInt() {
        return random.nextInt() >> random.nextInt(32);
    }

    private MemberUpdate randomUpdate(Status status) {
        Incarnation incarnation =
                new Incarnation(
                        (random.nextLong() >>> 1) >> random.nextInt(63),
                        randomInt(),
                        randomInt() & Integer.MAX_VALUE);
        int addressIndex = random.nextInt(5000) - 1;
        List<Integer> reporters = new ArrayList<>();
        if (status == Status.SUSPECT) {
            random.ints(random.nextInt(MemberUpdate.MAX_REPORTERS + 1))
                    .forEach(i -> reporters.add((int) (short) i));
        }
        boolean hasLabels = status == Status.ALIVE || status == Status.LEFT;
        return new MemberUpdate(
                status,
                randomText(Names.MAX_NAME_LENGTH),
                incarnation,
                addressIndex,
                hasLabels ? randomText(Names.MAX_LABEL_LENGTH) : "",
                hasLabels ? randomText(Names.MAX_LABEL_LENGTH) : "",
                reporters);
    }

    private Message randomMessage(Message.Type type) {
        boolean sync = type == Message.Type.SYNC;
        Message message =
                new Message(
                        type,
                        randomInt(),
                        random.nextBoolean() ? "" : randomText(Names.MAX_NAME_LENGTH),
                        sync ? random.nextInt(17) - 1 : random.nextInt(256),
                        sync ? random.ints(16).toArray() : new int[0],
                        randomUpdate(random.nextBoolean() ? Status.ALIVE : Status.LEFT),
                        new ArrayList<>());
        int remainingBytes = Frame.MAX_BYTES - codec.sizeWithoutUpdates(message);
        for (MemberUpdate update = randomUpdate(randomStatus());
                Codec.encodedSize(update) <= remainingBytes;
                update = randomUpdate(randomStatus())) {
            remainingBytes -= Codec.encodedSize(update);
            message.updates().add(update);
        }
        return message;
    }

    private Status randomStatus() {
        return Status.values()[random.nextInt(Status.values().length)];
    }

    /**
     * Predicted sizes are at most one byte too large, and an update of any size fits beside any
     * content except digests.
     */
    @Test
    void encodedMessagesFitAndDecodeUnchanged() throws Codec.RejectedException {
        for (int i = 0; i < 20_000; i++) {
            Message.Type type = Message.Type.values()[i % Message.Type.values().length];
            Message sent = randomMessage(type);
            byte[] bytes = codec.encode(sent);
            int predictedSize =
                    codec.sizeWithoutUpdates(sent)
                            + sent.updates().stream().mapToInt(Codec::encodedSize).sum();
            assertTrue(
                    bytes.length <= predictedSize
                            && predictedSize <= bytes.length + 1
                            && predictedSize <= Frame.MAX_BYTES,
                    bytes.length + " bytes, predicted " + predictedSize);
            Message read = codec.decode(bytes);
            assertEquals(sent.sender(), read.sender());
            assertEquals(sent.updates(), read.updates());
            assertArrayEquals(sent.digests(), read.digests());
            assertEquals(
                    List.of(sent.type(), sent.sequenceNumber(), sent.target(), sent.node()),
                    List.of(read.type(), read.sequenceNumber(), read.target(), read.node()));
        }
    }

    @Test
    void largestHeaderLeavesRoomForLargestUpdate() {
        String name = "n".repeat(Names.MAX_NAME_LENGTH);
        String label = "l".repeat(Names.MAX_LABEL_LENGTH);
        MemberUpdate largest =
                new MemberUpdate(
                        Status.ALIVE,
                        name,
                        new Incarnation(0xFFFFFFFFL, Integer.MIN_VALUE, 0xFFFF),
                        5000,
                        label,
                        label,
                        List.of());
        int headerSize =
                codec.sizeWithoutUpdates(
                        new Message(
                                Message.Type.PING,
                                Integer.MIN_VALUE,
                                "",
                                0,
                                new int[0],
                                largest,
                                List.of()));
        assertTrue(
                headerSize + Codec.encodedSize(largest) <= Frame.MAX_BYTES,
                headerSize + " + " + Codec.encodedSize(largest));
        Message sync = new Message(Message.Type.SYNC, 0, "", 15, new int[16], largest, List.of());
        assertTrue(codec.sizeWithoutUpdates(sync) <= Frame.MAX_BYTES);
    }

    @Test
    void malformedDatagramsAreRejectedWithReason() {
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes;
            if (i % 4 == 0) {
                bytes = new byte[random.nextInt(300)];
                random.nextBytes(bytes);
            } else {
                bytes = codec.encode(randomMessage(Message.Type.values()[i % 8]));
                for (int n = 1 + random.nextInt(4); n > 0; n--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
                bytes =
                        random.nextInt(3) == 0
                                ? Arrays.copyOf(bytes, random.nextInt(bytes.length))
                                : bytes;
            }
            if (i % 2 == 0 && bytes.length > 5) {
                // A matching checksum lets the malformed content reach the decoder.
                Frame.withChecksum(bytes);
            }
            try {
                Message read = codec.decode(bytes);
                assertTrue(
                        Names.isName(read.sender().name())
                                && read.updates().size() <= Frame.MAX_BYTES / 8);
            } catch (Codec.RejectedException rejected) {
                assertTrue(rejected.reason() != null);
            }
        }
        byte[] good = codec.encode(randomMessage(Message.Type.GOSSIP));
        assertEquals(
                DropReason.FLEET,
                assertThrows(Codec.RejectedException.class, () -> new Codec("another").decode(good))
                        .reason());
        good[9] ^= 1;
        assertEquals(
                DropReason.CHECKSUM,
                assertThrows(Codec.RejectedException.class, () -> codec.decode(good)).reason());
    }

    /** A later release may add fields at the end of each array; this one skips them. */
    @Test
    void unknownTrailingFieldsAreSkipped() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(new byte[] {Codec.VERSION, 0, 0, 0, 0});
        try (CBORGenerator cbor = new CBORFactory().createGenerator(out)) {
            cbor.writeStartArray(null, 10);
            cbor.writeString("jackson-claims-1");
            cbor.writeNumber(Message.Type.GOSSIP.ordinal());
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
        assertEquals("n1", codec.decode(Frame.withChecksum(bytes)).sender().name());
    }
}
