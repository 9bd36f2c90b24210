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
final class JsonValues {

    /** Hears what is found, in its order. */
    interface Listener {
        /** A whole object, as its text; whether it is JSON inside is not checked. */
        void object(String text);

        /** A line with nothing on it, outside of any object. */
        void emptyLine();

        /** What came instead of an object was passed over, up to the end of its line. */
        void skipped(String why);
    }

    private final int longest;
    private final Listener listener;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inText;
    private boolean escaped;

    /** Something stands on this line that is no start of an object: it is passed over. */
    private boolean skipping;

    /** Something has stood on this line. */
    private boolean used;

    /**
     * Nothing read yet.
     *
     * @param longest bytes of an object; a longer one is passed over
     */
    JsonValues(int longest, Listener listener) {
        this.longest = longest;
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
                inside(b);
            } else {
                between(b);
            }
        }
    }

    private void between(byte b) {
        if (b == '\n') {
            if (!used) {
                listener.emptyLine();
            }
            used = false;
            skipping = false;
        } else if (!skipping && b == '{') {
            used = true;
            depth = 1;
            object.write(b);
        } else if (b != ' ' && b != '\t' && b != '\r') {
            used = true;
            if (!skipping) {
                skip(b, "no object starts there");
            }
        }
    }

    private void inside(byte b) {
        if (object.size() >= longest) {
            skip(b, "it is longer than " + longest + " bytes");
            return;
        }
        object.write(b);
        if (escaped) {
            escaped = false;
        } else if (inText) {
            escaped = b == '\\';
            inText = b != '"';
        } else if (b == '"') {
            inText = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
        if (inText && b == '\n') {
            // No text of JSON goes over the end of a line: what began there was cut off.
            skip(b, "a text is cut off");
        } else if (depth == 0) {
            String text = object.toString(StandardCharsets.UTF_8);
            object.reset();
            listener.object(text);
        }
    }

    private void skip(byte last, String why) {
        object.reset();
        depth = 0;
        inText = false;
        escaped = false;
        used = last != '\n';
        skipping = used;
        listener.skipped(why);
    }
}
