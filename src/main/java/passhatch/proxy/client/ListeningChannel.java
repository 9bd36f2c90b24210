package passhatch.proxy.client;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import passhatch.proxy.client.InputArrival.LoopTime;

/**
 * A listening socket that accepts all connections in its queue before it closes. The operating
 * system would otherwise reset these connections, even if another process listens on the same
 * address.
 */
public final class ListeningChannel extends NioServerSocketChannel {

    private final Supplier<LoopTime> loopTime;

    /** Bounds the time since when connections may wait in the queue. */
    private final InputArrival arrival = new InputArrival();

    /** Creates a channel that does not tell how long its connections have waited in the queue. */
    public ListeningChannel() {
        this(() -> new LoopTime(0, 0, 0));
    }

    /**
     * Creates a channel that is not bound yet.
     *
     * @param loopTime returns the present time on the event loop
     */
    ListeningChannel(Supplier<LoopTime> loopTime) {
        this.loopTime = loopTime;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = SocketUtils.accept(javaChannel());
        if (socket == null) {
            arrival.onDrained(loopTime.get());
            return 0;
        }
        accepted.add(new ClientChannel(this, socket, arrival.onRead(loopTime.get())));
        return 1;
    }

    @Override
    protected void doClose() throws Exception {
        try {
            List<Object> accepted = new ArrayList<>(1);
            while (doReadMessages(accepted) > 0) {
                // Passes the connections on one by one. If one of them exceeds the limit, another
                // connection can be closed before the next one is accepted.
                accepted.forEach(pipeline()::fireChannelRead);
                accepted.clear();
            }
        } finally {
            super.doClose();
        }
    }
}
