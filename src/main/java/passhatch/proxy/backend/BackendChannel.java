package passhatch.proxy.backend;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A connection to a backend that can be checked for unread input. */
class BackendChannel extends NioSocketChannel {

    private final ByteBuffer singleByte = ByteBuffer.allocate(1);

    /**
     * Returns true if nothing has arrived since the last read, neither bytes nor the peer's close.
     * The event loop sees new input only in its next iteration. If a request were written on a
     * connection with unread input, the peer might already have closed the connection, or bytes
     * that do not belong to the response might precede it. After this method has returned false,
     * the connection must not be used again.
     */
    boolean hasNoInput() {
        try {
            return javaChannel().read(singleByte.clear()) == 0;
        } catch (IOException broken) {
            return false;
        }
    }
}
