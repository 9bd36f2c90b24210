package passhatch.lab.drill;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * A block of consecutive loopback ports that only this process gives out. All blocks are below the
 * ports that Linux assigns to sockets without a fixed port, 32768 to 60999 by default. A port of
 * the block thus stays free until the process that it was chosen for binds it. The first port of a
 * block is its lock: the block belongs to the process that listens there.
 */
final class PortBlock implements Closeable {

    private static final int FIRST_PORT = 20_000;
    private static final int BLOCK_COUNT = 12;

    /** Number of ports of a block, including the lock. */
    static final int BLOCK_SIZE = 1_000;

    private final ServerSocket lock;
    private int givenOut;

    private PortBlock(ServerSocket lock) {
        this.lock = lock;
    }

    /**
     * Reserves a block that no process has reserved.
     *
     * @throws IOException if all blocks are reserved
     */
    static PortBlock reserve() throws IOException {
        for (int block = 0; block < BLOCK_COUNT; block++) {
            try {
                return new PortBlock(listen(FIRST_PORT + block * BLOCK_SIZE));
            } catch (BindException reservedElsewhere) {
                continue;
            }
        }
        throw new IOException("all " + BLOCK_COUNT + " blocks of ports are reserved");
    }

    /**
     * Returns an address whose port is free for both TCP and UDP. A port is given out again only
     * after all others of the block.
     *
     * @throws IOException if no port of the block is free
     */
    synchronized InetSocketAddress nextFreeAddress() throws IOException {
        for (int attempt = 1; attempt < BLOCK_SIZE; attempt++) {
            int offset = 1 + givenOut++ % (BLOCK_SIZE - 1);
            int port = lock.getLocalPort() + offset;
            if (isFree(port)) {
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            }
        }
        throw new IOException("no port of the block at " + lock.getLocalPort() + " is free");
    }

    private static boolean isFree(int port) throws IOException {
        try (ServerSocket tcp = listen(port);
                DatagramSocket udp = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
            return tcp.isBound() && udp.isBound();
        } catch (BindException taken) {
            return false;
        }
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    }

    /** Gives the block back. */
    @Override
    public void close() throws IOException {
        lock.close();
    }
}
