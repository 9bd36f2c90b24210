package passhatch.proxy.backend;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A connection to a backend that can be checked for unread input. */
class BackendChannel extends NioSocketChannel {

    private final ByteBuffer singleByte = ByteBuffer.allocate(1);

    /**
     * Returns whether nothing has arrived since the last read, not even the peer's close. The event
     * loop sees new input only in its next iteration, so a request that is written now could meet a
     * closed connection, or its response could follow bytes that do not belong to it. A connection
     * with unread input must not be used again.
     */
    boolean hasNoInput() {
        try {
            return javaChannel().read(singleByte.clear()) == 0;
        } catch (IOException broken) {
            return false;
        }
    }
}
