package passhatch.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** A client's connection that can be read at once, before the event loop polls it again. */
final class ClientChannel extends NioSocketChannel {

    private final long connectedNotBeforeUs;

    /**
     * Creates a channel of an accepted connection.
     *
     * @param connectedNotBeforeUs the earliest time at which the client may have connected
     */
    ClientChannel(Channel parent, SocketChannel socket, long connectedNotBeforeUs) {
        super(parent, socket);
        this.connectedNotBeforeUs = connectedNotBeforeUs;
    }

    /**
     * Returns the earliest time in microseconds at which the client may have connected. It may have
     * waited to be accepted since then.
     */
    long connectedNotBeforeUs() {
        return connectedNotBeforeUs;
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
