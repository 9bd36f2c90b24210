package passhatch.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
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
import passhatch.fleet.DropReason;
import passhatch.fleet.Frame;
import passhatch.fleet.Names;

/** Every message fits into a datagram and decodes to itself; other datagrams are rejected. */
class MessageCodecTest {

    private static final String FLEET = "f".repeat(Names.MAX_LABEL_LENGTH);
    private static final int ROUNDS = 20_000;

    private final RandomGenerator random = new SplittableRandom(1);

    @Test
    void everyMessageFitsIntoADatagramAndDecodesToItself() {
        for (int round = 0; round < ROUNDS; round++) {
            Message message = message(round % 11);
            byte[] datagram = MessageCodec.encode(FLEET, message);
            assertTrue(datagram.length <= Frame.MAX_BYTES, datagram.length + ": " + message);
            assertEquals(message, MessageCodec.decode(FLEET, datagram).message());
        }
    }

    @Test
    void corruptedDatagramsAreRejected() {
        for (int round = 0; round < ROUNDS; round++) {
            byte[] datagram = MessageCodec.encode(FLEET, message(round % 11));
            datagram[random.nextInt(datagram.length)] ^= (byte) (1 << random.nextInt(8));
            assertNotNull(MessageCodec.decode(FLEET, datagram).dropReason());
        }
    }

    /** A sender that frames arbitrary content with a valid checksum must not do harm either. */
    @Test
    void framedRandomContentIsDecodedOrRejected() {
        int rejected = 0;
        for (int round = 0; round < ROUNDS; round++) {
            byte[] datagram = MessageCodec.encode(FLEET, message(round % 11));
            byte[] content = new byte[datagram.length - Frame.HEADER_BYTES];
            System.arraycopy(datagram, Frame.HEADER_BYTES, content, 0, content.length);
            content[random.nextInt(content.length)] = (byte) random.nextInt(256);
            byte[] sealed = Frame.of(MessageCodec.FORMAT, content);
            MessageCodec.Read read = MessageCodec.decode(FLEET, sealed);
            assertTrue(read.message() == null ^ read.dropReason() == null);
            rejected += read.dropReason() == null ? 0 : 1;
        }
        assertTrue(rejected > ROUNDS / 10, "rejected: " + rejected);
    }

    @Test
    void datagramOfAnotherFleetIsRejected() {
        byte[] datagram = MessageCodec.encode("other", new Ack(1, 1));
        assertEquals(DropReason.FLEET, MessageCodec.decode(FLEET, datagram).dropReason());
    }

    private Message message(int kind) {
        long epoch = number(Integer.MAX_VALUE);
        long age = number(Integer.MAX_VALUE);
        return switch (kind) {
            case 0 -> new Prepare(epoch, randomVersion());
            case 1 ->
                    new Prepared(
                            epoch,
                            randomVersion(),
                            randomVersion(),
                            randomVersion(),
                            randomVersion(),
                            randomVersion());
            case 2 -> new LogRequest(epoch, randomVersion(), randomVersion());
            case 3 -> {
                long previous = randomVersion();
                yield new LogPart(
                        epoch,
                        randomVersion(),
                        previous,
                        randomVersion(),
                        randomVersion(),
                        consecutiveEntries(previous));
            }
            case 4 -> {
                long previous = randomVersion();
                yield new Append(
                        epoch,
                        randomVersion(),
                        randomVersion(),
                        age,
                        previous,
                        randomVersion(),
                        consecutiveEntries(previous));
            }
            case 5 ->
                    new Appended(
                            epoch,
                            randomVersion(),
                            random.nextBoolean(),
                            randomVersion(),
                            random.nextBoolean());
            case 6 -> new Behind(epoch, randomVersion());
            case 7 ->
                    new Poll(
                            epoch,
                            randomVersion(),
                            random.nextBoolean() ? key() : null,
                            ServiceFilter.of(List.of("a", "b" + random.nextInt())),
                            "n".repeat(1 + random.nextInt(Names.MAX_NAME_LENGTH)));
            case 8 -> new Ack(epoch, randomVersion());
            case 9 ->
                    new Delta(
                            epoch,
                            randomVersion(),
                            randomVersion(),
                            randomVersion(),
                            age,
                            consecutiveEntries(randomVersion()));
            default ->
                    new SnapshotPart(
                            epoch,
                            randomVersion(),
                            randomVersion(),
                            age,
                            random.nextInt(),
                            random.nextBoolean(),
                            random.nextBoolean(),
                            consecutiveEntries(randomVersion()));
        };
    }

    private long number(long bound) {
        return random.nextBoolean() ? bound : random.nextLong(bound);
    }

    /** Leaves room for the entries after it below the maximum version. */
    private long randomVersion() {
        return number(Long.MAX_VALUE - 100);
    }

    private String key() {
        int maxLength = ConfigKey.MAX_KEY_LENGTH - "service//deadline_ms".length();
        return "service/" + "s".repeat(1 + random.nextInt(maxLength)) + "/deadline_ms";
    }

    private String value() {
        String character = random.nextBoolean() ? "v" : "\u00e9";
        int maxLength = ConfigKey.MAX_VALUE_BYTES / (character.equals("v") ? 1 : 2);
        return random.nextInt(4) == 0 ? null : character.repeat(random.nextInt(maxLength + 1));
    }

    private List<LogEntry> consecutiveEntries(long previous) {
        List<LogEntry> all = new ArrayList<>();
        for (int i = 1; i <= 12; i++) {
            long term = 1 + randomVersion();
            all.add(
                    random.nextInt(6) == 0
                            ? LogEntry.noOperation(previous + i, term)
                            : new LogEntry(previous + i, term, key(), value()));
        }
        return DatagramBudget.fittingPrefix(all);
    }
}
