package passhatch.duty;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import passhatch.fleet.CborReader;
import passhatch.fleet.DropReason;
import passhatch.fleet.Frame;
import passhatch.fleet.Names;

/**
 * Encodes and decodes messages about duties. Each message is sent as one datagram, a frame that
 * contains a CBOR array.
 */
public final class DutyCodec {

    /**
     * The first byte of a datagram about duties; datagrams of other protocols begin with other
     * values.
     */
    public static final byte FORMAT = 2;

    /**
     * Maximum length of the text that identifies a holder: the name of a member, a colon and its
     * incarnation.
     */
    private static final int MAX_HOLDER_LENGTH = Names.MAX_NAME_LENGTH + 20;

    private static final int FIELD_COUNT = 9;
    private static final DutyMessage.Kind[] KINDS = DutyMessage.Kind.values();
    private static final CBORFactory CBOR = new CBORFactory();

    /**
     * The result of decoding a datagram: either the message and its sender, or the reason why the
     * datagram is dropped. If the datagram is dropped, the message and the sender are null;
     * otherwise the reason is null.
     */
    public record Read(String from, DutyMessage message, DropReason dropReason) {}

    private DutyCodec() {}

    /**
     * Encodes a message as a datagram.
     *
     * @param fleet name of the fleet; members of other fleets drop the datagram
     * @param from name of the member that sends the message
     */
    public static byte[] encode(String fleet, String from, DutyMessage message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(Frame.MAX_BYTES);
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            cbor.writeStartArray(null, FIELD_COUNT);
            cbor.writeString(fleet);
            cbor.writeString(from);
            cbor.writeNumber(message.kind().ordinal());
            cbor.writeNumber(message.epoch());
            cbor.writeString(message.duty());
            cbor.writeNumber(message.term());
            cbor.writeNumber(message.round());
            cbor.writeString(message.holder());
            cbor.writeNumber(message.waitUs());
            cbor.writeEndArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return Frame.of(FORMAT, out.toByteArray());
    }

    /**
     * Decodes a datagram. The result is a message whose fields are within their bounds, or the
     * reason why the datagram is dropped.
     */
    public static Read decode(String fleet, byte[] bytes) {
        DropReason dropReason = Frame.dropReason(FORMAT, bytes);
        if (dropReason != null) {
            return new Read(null, null, dropReason);
        }
        try (JsonParser parser =
                CBOR.createParser(bytes, Frame.HEADER_BYTES, bytes.length - Frame.HEADER_BYTES)) {
            CborReader cbor = new CborReader(parser);
            cbor.beginArray();
            if (!fleet.equals(cbor.readText())) {
                return new Read(null, null, DropReason.FLEET);
            }
            String from = cbor.readText();
            CborReader.require(Names.isName(from));
            long kind = cbor.readLong(0, KINDS.length - 1);
            long epoch = cbor.readLong(0, Long.MAX_VALUE);
            String duty = cbor.readLabel();
            CborReader.require(!duty.isEmpty());
            long term = cbor.readLong(0, Long.MAX_VALUE - 1);
            long round = cbor.readLong(0, Integer.MAX_VALUE);
            String holder = cbor.readText();
            CborReader.require(!holder.isEmpty() && holder.length() <= MAX_HOLDER_LENGTH);
            long waitUs = cbor.readLong(0, Long.MAX_VALUE);
            return new Read(
                    from,
                    new DutyMessage(
                            KINDS[(int) kind], epoch, duty, term, (int) round, holder, waitUs),
                    null);
        } catch (IOException malformed) {
            return new Read(null, null, DropReason.FORM);
        }
    }
}
