package passhatch.proxy.client;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket that accepts all connections in its queue before it closes. The operating
 * system would otherwise reset these connections, even if another process listens on the same
 * address.
 */
public final class ListeningChannel extends NioServerSocketChannel {

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = SocketUtils.accept(javaChannel());
        if (socket == null) {
            return 0;
        }
        accepted.add(new ClientChannel(this, socket));
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
