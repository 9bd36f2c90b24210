package passhatch.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import passhatch.proxy.flow.BufferBudget;

/**
 * Keeps reading from a client even while the proxy wants no more requests or body bytes from it,
 * because the proxy sees a disconnect only after it has read everything that the client sent
 * before. The input is buffered up to a limit. Beyond the limit, reading stops until input is
 * wanted again, and a disconnect is not seen until then.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {

    private final BufferBudget budget;
    private final int maxBytes;
    private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private long bufferedBytes;
    private boolean inputWanted = true;
    private boolean forwarding;

    /**
     * Creates a handler that forwards all input at first.
     *
     * @param budget counts the buffered bytes
     * @param maxBytes number of buffered bytes at which reading stops; the last read before that
     *     may exceed it
     */
    ReadAhead(BufferBudget budget, int maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /**
     * Sets whether the proxy wants input from the client at present. If it does, the buffered input
     * is forwarded.
     */
    void setInputWanted(boolean value) {
        inputWanted = value;
        if (context != null) {
            forward();
            updateReading();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        drop();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf buffer = (ByteBuf) message;
        buffered.add(buffer);
        addBufferedBytes(buffer.readableBytes());
        forward();
        updateReading();
    }

    /**
     * Forwards buffered input as long as input is wanted. Forwarding may itself change whether
     * input is wanted and so call this method again; such nested calls return at once, so that the
     * order is kept.
     */
    private void forward() {
        if (forwarding) {
            return;
        }
        forwarding = true;
        try {
            while (inputWanted && !buffered.isEmpty()) {
                ByteBuf next = buffered.poll();
                addBufferedBytes(-next.readableBytes());
                context.fireChannelRead(next);
            }
        } finally {
            forwarding = false;
        }
    }

    private void addBufferedBytes(int difference) {
        bufferedBytes += difference;
        budget.add(difference);
    }

    private void updateReading() {
        if (context.channel().isActive()) {
            context.channel()
                    .config()
                    .setAutoRead(inputWanted || bufferedBytes < maxBytes && !budget.exceeded());
        }
    }

    private void drop() {
        while (!buffered.isEmpty()) {
            ByteBuf next = buffered.poll();
            addBufferedBytes(-next.readableBytes());
            next.release();
        }
    }
}
