package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Reserved addresses stay free until the process that they were reserved for uses them. */
class LocalNetworkTest {

    private static final int ADDRESSES = 200;
    private static final int OTHER_SOCKETS = 1_000;

    private final Deque<Closeable> open = new ArrayDeque<>();

    @AfterEach
    void close() throws IOException {
        for (Closeable socket : open) {
            socket.close();
        }
    }

    /** Guards against processes of a drill that end because another socket has taken their port. */
    @Test
    void noOtherSocketGetsAReservedAddress() throws IOException {
        List<InetSocketAddress> reserved = new ArrayList<>();
        for (int i = 0; i < ADDRESSES; i++) {
            reserved.add(LocalNetwork.reserveAddress());
        }
        assertEquals(ADDRESSES, new HashSet<>(reserved).size(), "an address is reserved twice");

        InetAddress loopback = InetAddress.getLoopbackAddress();
        for (int i = 0; i < OTHER_SOCKETS; i++) {
            open.add(new DatagramSocket(0, loopback));
            open.add(new ServerSocket(0, 1, loopback));
        }
        List<InetSocketAddress> taken = new ArrayList<>();
        for (InetSocketAddress address : reserved) {
            try (DatagramSocket udp = new DatagramSocket(address);
                    ServerSocket tcp = new ServerSocket(address.getPort(), 1, loopback)) {
                assertTrue(udp.isBound() && tcp.isBound());
            } catch (BindException occupied) {
                taken.add(address);
            }
        }
        assertEquals(List.of(), taken);
    }

    @Test
    void twoProcessesReserveDifferentPorts() throws IOException {
        PortBlock first = PortBlock.reserve();
        open.add(first);
        PortBlock second = PortBlock.reserve();
        open.add(second);
        int distance = first.nextFreeAddress().getPort() - second.nextFreeAddress().getPort();
        assertNotEquals(0, distance);
        assertEquals(0, distance % PortBlock.BLOCK_SIZE);
    }

    @Test
    void aPortThatIsInUseIsNotGivenOut() throws IOException {
        PortBlock block = PortBlock.reserve();
        open.add(block);
        int next = block.nextFreeAddress().getPort() + 1;
        open.add(new DatagramSocket(next, InetAddress.getLoopbackAddress()));
        open.add(new ServerSocket(next + 1, 1, InetAddress.getLoopbackAddress()));
        assertEquals(next + 2, block.nextFreeAddress().getPort());
    }
}
