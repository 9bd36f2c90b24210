package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * The buffered start of a body, or the whole body if it is short. The bytes are counted in the
 * buffer budget.
 */
public final class BufferedBytes {

    private final BufferBudget budget;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);

    public BufferedBytes(BufferBudget budget) {
        this.budget = budget;
    }

    /** Adds a copy of the buffer's readable bytes; the caller keeps the ownership of the buffer. */
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

    /** Returns all bytes and empties the buffer. */
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
