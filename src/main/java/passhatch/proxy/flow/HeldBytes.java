package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * The start of a body, or all of a short one, that is held back for a while within the byte budget.
 */
public final class HeldBytes {

    private final ByteBudget budget;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);

    public HeldBytes(ByteBudget budget) {
        this.budget = budget;
    }

    /** Copies what the buffer holds; it stays the caller's. */
    public void add(ByteBuf buffer) {
        budget.add(buffer.readableBytes());
        try {
            buffer.getBytes(buffer.readerIndex(), bytes, buffer.readableBytes());
        } catch (IOException cannotBe) {
            throw new IllegalStateException(cannotBe);
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
