package passhatch.fleet;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads a datagram's fields one after the other; what is not as it has to be is an {@link
 * IOException}.
 */
public final class CborReader {

    private final JsonParser cbor;

    /** Reads on from where the parser stands. */
    public CborReader(JsonParser cbor) {
        this.cbor = cbor;
    }

    /** Goes into an array. */
    public void beginArray() throws IOException {
        require(cbor.nextToken() == JsonToken.START_ARRAY);
    }

    /** Goes into an array, or to the end of the one around it; whether it was the first. */
    public boolean beginArrayOrEnd() throws IOException {
        JsonToken token = cbor.nextToken();
        require(token == JsonToken.START_ARRAY || token == JsonToken.END_ARRAY);
        return token == JsonToken.START_ARRAY;
    }

    /** A text. */
    public String readText() throws IOException {
        require(cbor.nextToken() == JsonToken.VALUE_STRING);
        return cbor.getText();
    }

    /** A text as {@link Names#isLabel} has it. */
    public String readLabel() throws IOException {
        String text = readText();
        require(Names.isLabel(text));
        return text;
    }

    /** A whole number within bounds. */
    public long readLong(long min, long max) throws IOException {
        require(cbor.nextToken() == JsonToken.VALUE_NUMBER_INT);
        long value = cbor.getLongValue();
        require(value >= min && value <= max);
        return value;
    }

    /** A text, or null where there is none. */
    public String readTextOrNull() throws IOException {
        JsonToken token = cbor.nextToken();
        require(token == JsonToken.VALUE_STRING || token == JsonToken.VALUE_NULL);
        return token == JsonToken.VALUE_NULL ? null : cbor.getText();
    }

    /** True or false. */
    public boolean readBoolean() throws IOException {
        JsonToken token = cbor.nextToken();
        require(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE);
        return token == JsonToken.VALUE_TRUE;
    }

    /** The same within the bounds of an int. */
    public int readInt(int min, int max) throws IOException {
        return (int) readLong(min, max);
    }

    /** Bytes. */
    public byte[] readBytes() throws IOException {
        require(cbor.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        return cbor.getBinaryValue();
    }

    /** Goes to the end of the array, over fields of a later program. */
    public void skipToArrayEnd() throws IOException {
        JsonToken token = cbor.nextToken();
        while (token != null && token != JsonToken.END_ARRAY) {
            cbor.skipChildren();
            token = cbor.nextToken();
        }
        require(token == JsonToken.END_ARRAY);
    }

    /** Nothing may follow. */
    void requireEnd() throws IOException {
        require(cbor.nextToken() == null);
    }

    /** Has a condition hold. */
    public static void require(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("not a message");
        }
    }
}
