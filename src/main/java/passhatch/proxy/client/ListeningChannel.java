package passhatch.proxy.client;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket that takes all connections that wait at it before it closes: the system would
 * reset them, though another process listens at the same address.
 */
public final class ListeningChannel extends NioServerSocketChannel {

    @Override
    protected void doClose() throws Exception {
        try {
            List<Object> accepted = new ArrayList<>(1);
            while (doReadMessages(accepted) > 0) {
                // One by one, so that for each one too many another can be let go first.
                accepted.forEach(pipeline()::fireChannelRead);
                accepted.clear();
            }
        } finally {
            super.doClose();
        }
    }
}
