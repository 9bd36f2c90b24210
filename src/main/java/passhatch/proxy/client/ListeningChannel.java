package passhatch.proxy.client;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket that accepts all connections in its queue before it closes. The operating
 * system would otherwise reset these connections, even if another process listens on the same
 * address.
 */
public final class ListeningChannel extends NioServerSocketChannel {

    @Override
    protected void doClose() throws Exception {
        try {
            List<Object> accepted = new ArrayList<>(1);
            while (doReadMessages(accepted) > 0) {
                // One by one, so that for each connection over the limit another one can be closed
                // first.
                accepted.forEach(pipeline()::fireChannelRead);
                accepted.clear();
            }
        } finally {
            super.doClose();
        }
    }
}
