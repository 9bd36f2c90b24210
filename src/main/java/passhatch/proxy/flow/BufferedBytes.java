package passhatch.proxy.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The buffered start of a body, or the whole body if it is short. The bytes are stored in blocks
 * that are never copied or moved, and the buffer budget is charged for each block in full.
 */
public final class BufferedBytes {

    /** Size in bytes of a block, unless fewer bytes are expected. */
    private static final int BLOCK_BYTES = 1 << 13;

    private final BufferBudget budget;
    private final long expectedBytes;
    private final List<byte[]> blocks = new ArrayList<>();
    private long chargedBytes;
    private int size;

    /** The number of bytes used in the last block. */
    private int usedInLastBlock;

    /**
     * Creates an empty buffer.
     *
     * @param expectedBytes the number of bytes that will be added, or -1 if it is not known
     */
    public BufferedBytes(BufferBudget budget, long expectedBytes) {
        this.budget = budget;
        this.expectedBytes = expectedBytes;
    }

    /** Adds a copy of the buffer's readable bytes; the caller keeps the ownership of the buffer. */
    public void add(ByteBuf buffer) {
        int at = buffer.readerIndex();
        while (at < buffer.writerIndex()) {
            byte[] block = blockWithSpace();
            int count = Math.min(block.length - usedInLastBlock, buffer.writerIndex() - at);
            buffer.getBytes(at, block, usedInLastBlock, count);
            usedInLastBlock += count;
            size += count;
            at += count;
        }
    }

    private byte[] blockWithSpace() {
        if (blocks.isEmpty() || usedInLastBlock == blocks.get(blocks.size() - 1).length) {
            long missing = expectedBytes - size;
            int length = missing > 0 ? (int) Math.min(missing, BLOCK_BYTES) : BLOCK_BYTES;
            blocks.add(new byte[length]);
            usedInLastBlock = 0;
            chargedBytes += length;
            budget.add(length);
        }
        return blocks.get(blocks.size() - 1);
    }

    public int size() {
        return size;
    }

    /** Returns the number of bytes for which the budget is charged. */
    long chargedBytes() {
        return chargedBytes;
    }

    /**
     * Returns a view of all bytes, which does not copy them and stays valid after {@link #drop}.
     */
    ByteBuf view() {
        // With fewer components allowed than there are blocks, the blocks would be copied into one.
        ByteBuf all =
                Unpooled.wrappedBuffer(Math.max(1, blocks.size()), blocks.toArray(byte[][]::new));
        return all.writerIndex(size);
    }

    /** Returns all bytes in one array and empties the buffer. */
    public byte[] take() {
        byte[] all = new byte[size];
        ByteBuf bytes = view();
        bytes.readBytes(all);
        bytes.release();
        drop();
        return all;
    }

    /** Returns all bytes without copying them, and empties the buffer. */
    public ByteBuf takeView() {
        ByteBuf all = view();
        drop();
        return all;
    }

    public void drop() {
        budget.remove(chargedBytes);
        chargedBytes = 0;
        blocks.clear();
        size = 0;
        usedInLastBlock = 0;
    }
}
