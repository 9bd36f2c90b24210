package passhatch.fleet;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads the fields of a datagram in order. The methods throw an {@link IOException} for unexpected
 * content.
 */
public final class CborReader {

    private final JsonParser cbor;

    /** Creates a reader that starts at the parser's current position. */
    public CborReader(JsonParser cbor) {
        this.cbor = cbor;
    }

    /** Enters an array. */
    public void beginArray() throws IOException {
        require(cbor.nextToken() == JsonToken.START_ARRAY);
    }

    /**
     * Enters the next array and returns true, or reaches the end of the enclosing array and returns
     * false.
     */
    public boolean beginArrayOrEnd() throws IOException {
        JsonToken token = cbor.nextToken();
        require(token == JsonToken.START_ARRAY || token == JsonToken.END_ARRAY);
        return token == JsonToken.START_ARRAY;
    }

    /** Reads a text. */
    public String readText() throws IOException {
        require(cbor.nextToken() == JsonToken.VALUE_STRING);
        return cbor.getText();
    }

    /** Reads a text that satisfies {@link Names#isLabel}. */
    public String readLabel() throws IOException {
        String text = readText();
        require(Names.isLabel(text));
        return text;
    }

    /** Reads a whole number within bounds, both inclusive. */
    public long readLong(long min, long max) throws IOException {
        require(cbor.nextToken() == JsonToken.VALUE_NUMBER_INT);
        long value = cbor.getLongValue();
        require(value >= min && value <= max);
        return value;
    }

    /** Reads a text or null. */
    public String readTextOrNull() throws IOException {
        JsonToken token = cbor.nextToken();
        require(token == JsonToken.VALUE_STRING || token == JsonToken.VALUE_NULL);
        return token == JsonToken.VALUE_NULL ? null : cbor.getText();
    }

    /** Reads a boolean. */
    public boolean readBoolean() throws IOException {
        JsonToken token = cbor.nextToken();
        require(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE);
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a whole number within bounds, both inclusive. */
    public int readInt(int min, int max) throws IOException {
        return (int) readLong(min, max);
    }

    /** Reads a byte string. */
    public byte[] readBytes() throws IOException {
        require(cbor.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        return cbor.getBinaryValue();
    }

    /** Skips to the end of the current array, including any fields that a later release added. */
    public void skipToArrayEnd() throws IOException {
        JsonToken token = cbor.nextToken();
        while (token != null && token != JsonToken.END_ARRAY) {
            cbor.skipChildren();
            token = cbor.nextToken();
        }
        require(token == JsonToken.END_ARRAY);
    }

    /** Throws an {@link IOException} if the datagram contains anything more. */
    void requireEnd() throws IOException {
        require(cbor.nextToken() == null);
    }

    /** Throws an {@link IOException} if the condition does not hold. */
    public static void require(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("malformed content");
        }
    }
}
