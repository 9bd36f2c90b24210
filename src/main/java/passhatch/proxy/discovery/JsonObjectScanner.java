package passhatch.proxy.discovery;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Finds JSON objects in the stream from discovery. An object may be on one line or indented over
 * several, so it ends where its braces close. Netty's decoder for JSON objects stops at the first
 * byte that is not JSON. This scanner continues with the next line, as the changes after a
 * malformed line are still valid.
 */
final class JsonObjectScanner {

    /** Receives the objects and the other events of the stream in their order. */
    interface Listener {
        /**
         * Receives the text of a complete object; whether its content is valid JSON is not checked.
         */
        void onObject(String text);

        /** Called for an empty line outside of any object. */
        void onEmptyLine();

        /** Called when input other than an object was skipped, up to the end of its line. */
        void onSkipped(String reason);
    }

    private final int maxObjectBytes;
    private final Listener listener;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /**
     * Whether the rest of the current line is skipped. True from the first byte that is not part of
     * a readable object until the end of its line.
     */
    private boolean skippingLine;

    /** Whether the current line contains anything other than spaces, tabs and carriage returns. */
    private boolean lineNotEmpty;

    /**
     * Creates a scanner that has read nothing.
     *
     * @param maxObjectBytes maximum size of an object in bytes; a longer one is skipped
     */
    JsonObjectScanner(int maxObjectBytes, Listener listener) {
        this.maxObjectBytes = maxObjectBytes;
        this.listener = listener;
    }

    /** Returns whether an object has started and is not complete. */
    boolean hasIncompleteObject() {
        return depth > 0;
    }

    /** Processes further input. */
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
                skip(b, "not the start of an object");
            }
        }
    }

    private void readInsideObject(byte b) {
        if (object.size() >= maxObjectBytes) {
            skip(b, "an object of more than " + maxObjectBytes + " bytes");
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
            // A JSON string cannot contain a line end, so this object was truncated.
            skip(b, "a string without an end");
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
