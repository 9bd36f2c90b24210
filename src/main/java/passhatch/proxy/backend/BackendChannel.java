package passhatch.proxy.backend;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A connection to a backend that can be asked whether it is still as it was left. */
class BackendChannel extends NioSocketChannel {

    private final ByteBuffer singleByte = ByteBuffer.allocate(1);

    /**
     * Whether nothing has come since all was read, not even the peer's end. The loop hears of what
     * has come only in its next turn: a request that is written in this one would meet a closed
     * connection, or find its answer behind bytes that are no part of it. Where something has come
     * the connection is of no more use.
     */
    boolean hasNoInput() {
        try {
            return javaChannel().read(singleByte.clear()) == 0;
        } catch (IOException broken) {
            return false;
        }
    }
}
