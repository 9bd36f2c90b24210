package passhatch.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A client's connection that can be read at once, before the event loop polls it again. */
final class ClientChannel extends NioSocketChannel {

    ClientChannel(Channel parent, SocketChannel socket) {
        super(parent, socket);
    }

    /**
     * Reads what waits in the socket, as far as the buffer has room.
     *
     * @return the number of bytes; 0 if none waits, and -1 if the client has closed its side
     * @throws IOException if the connection is broken
     */
    int readNow(ByteBuf into) throws IOException {
        return into.writeBytes(javaChannel(), into.writableBytes());
    }
}
