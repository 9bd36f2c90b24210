package passhatch.proxy.discovery;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Finds the JSON objects in what discovery sends. Each may stand on one line or be indented over
 * many, so its end is where its braces close. Netty's own decoder of this kind gives up at the
 * first byte that is no JSON; here reading goes on with the next line, as the changes after a bad
 * one still count.
 */
final class JsonObjectScanner {

    /** Hears what is found, in its order. */
    interface Listener {
        /** A whole object, as its text; whether it is JSON inside is not checked. */
        void onObject(String text);

        /** A line with nothing on it, outside of any object. */
        void onEmptyLine();

        /** What came instead of an object was passed over, up to the end of its line. */
        void onSkipped(String reason);
    }

    private final int maxObjectBytes;
    private final Listener listener;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /** Something stands on this line that is no start of an object: it is passed over. */
    private boolean skippingLine;

    /** Something has stood on this line. */
    private boolean lineNotEmpty;

    /**
     * Nothing read yet.
     *
     * @param maxObjectBytes bytes of an object; a longer one is passed over
     */
    JsonObjectScanner(int maxObjectBytes, Listener listener) {
        this.maxObjectBytes = maxObjectBytes;
        this.listener = listener;
    }

    /** Whether an object has begun and is not whole. */
    boolean pending() {
        return depth > 0;
    }

    /** Reads on. */
    void read(ByteBuf bytes) {
        while (bytes.isReadable()) {
            byte b = bytes.readByte();
            if (depth > 0) {
                readInsideObject(b);
            } else {
                readBetweenObjects(b);
            }
        }
    }

    private void readBetweenObjects(byte b) {
        if (b == '\n') {
            if (!lineNotEmpty) {
                listener.onEmptyLine();
            }
            lineNotEmpty = false;
            skippingLine = false;
        } else if (!skippingLine && b == '{') {
            lineNotEmpty = true;
            depth = 1;
            object.write(b);
        } else if (b != ' ' && b != '\t' && b != '\r') {
            lineNotEmpty = true;
            if (!skippingLine) {
                skip(b, "no object starts there");
            }
        }
    }

    private void readInsideObject(byte b) {
        if (object.size() >= maxObjectBytes) {
            skip(b, "it is longer than " + maxObjectBytes + " bytes");
            return;
        }
        object.write(b);
        if (escaped) {
            escaped = false;
        } else if (inString) {
            escaped = b == '\\';
            inString = b != '"';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
        if (inString && b == '\n') {
            // No text of JSON goes over the end of a line: what began there was cut off.
            skip(b, "a text is cut off");
        } else if (depth == 0) {
            String text = object.toString(StandardCharsets.UTF_8);
            object.reset();
            listener.onObject(text);
        }
    }

    private void skip(byte last, String reason) {
        object.reset();
        depth = 0;
        inString = false;
        escaped = false;
        lineNotEmpty = last != '\n';
        skippingLine = lineNotEmpty;
        listener.onSkipped(reason);
    }
}
