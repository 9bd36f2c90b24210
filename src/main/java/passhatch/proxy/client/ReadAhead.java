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
    private final int most;
    private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private long bytes;
    private boolean wanted = true;
    private boolean passing;

    /**
     * Holds nothing yet, and passes everything on.
     *
     * @param budget counts what is held
     * @param most bytes to hold before no more are read; one read may go beyond it
     */
    ReadAhead(BufferBudget budget, int most) {
        this.budget = budget;
        this.most = most;
    }

    /** Whether what comes is wanted now. */
    void want(boolean on) {
        wanted = on;
        if (context != null) {
            pass();
            regulate();
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
        held.add(buffer);
        count(buffer.readableBytes());
        pass();
        regulate();
    }

    /**
     * What is passed on may make more wanted, or less; it is passed on in its order all the same.
     */
    private void pass() {
        if (passing) {
            return;
        }
        passing = true;
        try {
            while (wanted && !held.isEmpty()) {
                ByteBuf next = held.poll();
                count(-next.readableBytes());
                context.fireChannelRead(next);
            }
        } finally {
            passing = false;
        }
    }

    private void count(int change) {
        bytes += change;
        budget.add(change);
    }

    private void regulate() {
        if (context.channel().isActive()) {
            context.channel().config().setAutoRead(wanted || bytes < most && !budget.exceeded());
        }
    }

    private void drop() {
        while (!held.isEmpty()) {
            ByteBuf next = held.poll();
            count(-next.readableBytes());
            next.release();
        }
    }
}
