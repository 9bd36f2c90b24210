package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * The start of a body, or all of a short one, that is held back for a while within the byte budget.
 */
public final class BufferedBytes {

    private final BufferBudget budget;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);

    public BufferedBytes(BufferBudget budget) {
        this.budget = budget;
    }

    /** Copies what the buffer holds; it stays the caller's. */
    public void add(ByteBuf buffer) {
        budget.add(buffer.readableBytes());
        try {
            buffer.getBytes(buffer.readerIndex(), bytes, buffer.readableBytes());
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    public int size() {
        return bytes.size();
    }

    byte[] copy() {
        return bytes.toByteArray();
    }

    /** Hands all of it over. */
    public byte[] take() {
        byte[] all = copy();
        drop();
        return all;
    }

    public void drop() {
        budget.remove(bytes.size());
        bytes.reset();
    }
}
