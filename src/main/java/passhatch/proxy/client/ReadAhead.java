package passhatch.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import passhatch.proxy.flow.BufferBudget;

/**
 * Reads on from a client while no more requests, or no more of a body, are wanted from it: that it
 * has left shows only behind all that it had sent before. What comes meanwhile is held, up to a
 * bound; a client that sends more than that is not read from until it is wanted again, and cannot
 * be seen to leave until then.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {

    private final BufferBudget budget;
    private final int maxBytes;
    private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private long bufferedBytes;
    private boolean wanted = true;
    private boolean forwarding;

    /**
     * Holds nothing yet, and passes everything on.
     *
     * @param budget counts what is held
     * @param maxBytes bytes to hold before no more are read; one read may go beyond it
     */
    ReadAhead(BufferBudget budget, int maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /** Whether what comes is wanted now. */
    void setWanted(boolean value) {
        wanted = value;
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
        addBytes(buffer.readableBytes());
        forward();
        updateReading();
    }

    /**
     * What is passed on may make more wanted, or less; it is passed on in its order all the same.
     */
    private void forward() {
        if (forwarding) {
            return;
        }
        forwarding = true;
        try {
            while (wanted && !buffered.isEmpty()) {
                ByteBuf next = buffered.poll();
                addBytes(-next.readableBytes());
                context.fireChannelRead(next);
            }
        } finally {
            forwarding = false;
        }
    }

    private void addBytes(int difference) {
        bufferedBytes += difference;
        budget.add(difference);
    }

    private void updateReading() {
        if (context.channel().isActive()) {
            context.channel()
                    .config()
                    .setAutoRead(wanted || bufferedBytes < maxBytes && !budget.exceeded());
        }
    }

    private void drop() {
        while (!buffered.isEmpty()) {
            ByteBuf next = buffered.poll();
            addBytes(-next.readableBytes());
            next.release();
        }
    }
}
