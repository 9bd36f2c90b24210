package passhatch.lab.standin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import passhatch.lab.Seeds;
import passhatch.lab.standin.UdpRelay.NetworkConditions;

/** Tests delivery, injected faults and connectivity of the relay. */
class UdpRelayTest {

    private static final int MEMBERS = 3;
    private static final int DATAGRAMS = 200;

    private final DatagramSocket[] members = new DatagramSocket[MEMBERS];
    private UdpRelay relay;

    @BeforeEach
    void open() throws IOException {
        relay = new UdpRelay(MEMBERS, new Seeds(7).stream("relay"));
        for (int i = 0; i < MEMBERS; i++) {
            members[i] = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            members[i].setReceiveBufferSize(1 << 20);
            relay.setListenAddress(i, (InetSocketAddress) members[i].getLocalSocketAddress());
        }
    }

    @AfterEach
    void close() throws IOException {
        relay.close();
        Arrays.stream(members).forEach(DatagramSocket::close);
    }

    private void send(int from, int to, byte[] bytes) throws IOException {
        members[from].send(
                new DatagramPacket(bytes, bytes.length, relay.relayAddressesOf(from).get(to)));
    }

    private DatagramPacket receive(int member, int timeoutMs) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[1024], 1024);
        members[member].setSoTimeout(timeoutMs);
        members[member].receive(packet);
        return packet;
    }

    /**
     * Sends numbered datagrams from member 0 to member 1 under the given conditions and returns the
     * numbers received until none arrives for 500 ms; a truncated datagram counts as -1.
     */
    private List<Integer> receivedUnder(NetworkConditions conditions) throws IOException {
        relay.setConditions(conditions);
        for (int i = 0; i < DATAGRAMS; i++) {
            send(0, 1, new byte[] {(byte) i, 1});
        }
        List<Integer> received = new ArrayList<>();
        try {
            while (true) {
                DatagramPacket packet = receive(1, 500);
                received.add(packet.getLength() == 2 ? packet.getData()[0] & 0xff : -1);
            }
        } catch (SocketTimeoutException noneLeft) {
            return received;
        }
    }

    @Test
    void deliversFromTheSendersAddressAsTheReceiverKnowsIt() throws IOException {
        byte[] bytes = {1, 2, 3};
        send(0, 2, bytes);
        DatagramPacket packet = receive(2, 5_000);
        assertArrayEquals(bytes, Arrays.copyOf(packet.getData(), packet.getLength()));
        assertEquals(relay.relayAddressesOf(2).get(0), packet.getSocketAddress());
        send(0, 2, new byte[UdpRelay.MAX_DATAGRAM_BYTES + 1]);
        assertEquals(0, receivedUnder(new NetworkConditions(1, 0, 0, 0, 0, 0)).size());
        assertEquals(1, relay.oversized());
    }

    @Test
    void losesDuplicatesAndTruncatesAtTheGivenRates() throws IOException {
        assertEquals(DATAGRAMS, receivedUnder(NetworkConditions.UNIMPAIRED).size());
        int remaining = receivedUnder(new NetworkConditions(0.5, 0, 0, 0, 0, 0)).size();
        assertTrue(
                remaining > DATAGRAMS / 4 && remaining < DATAGRAMS * 3 / 4,
                remaining + " datagrams arrived");
        int duplicated = receivedUnder(new NetworkConditions(0, 0.5, 0, 0, 0, 0)).size();
        assertTrue(
                duplicated > DATAGRAMS * 5 / 4 && duplicated < DATAGRAMS * 7 / 4,
                duplicated + " datagrams arrived");
        long truncated =
                receivedUnder(new NetworkConditions(0, 0, 0.5, 0, 0, 0)).stream()
                        .filter(n -> n < 0)
                        .count();
        assertTrue(
                truncated > DATAGRAMS / 4 && truncated < DATAGRAMS * 3 / 4,
                truncated + " datagrams were truncated");
    }

    @Test
    void delaysAndReorders() throws IOException {
        List<Integer> inOrder = receivedUnder(NetworkConditions.UNIMPAIRED);
        assertEquals(inOrder.stream().sorted().toList(), inOrder);
        List<Integer> reordered = receivedUnder(new NetworkConditions(0, 0, 0, 0.2, 1_000, 0));
        assertEquals(DATAGRAMS, reordered.size());
        assertTrue(!reordered.stream().sorted().toList().equals(reordered));
        relay.setConditions(new NetworkConditions(0, 0, 0, 0, 100_000, 0));
        long sentNs = System.nanoTime();
        send(0, 1, new byte[] {1, 1});
        receive(1, 5_000);
        assertTrue(
                System.nanoTime() - sentNs >= 100_000_000, "the datagram arrived before its delay");
    }

    @Test
    void disconnectsOnlyTheGivenPairs() throws IOException {
        relay.setConnectivity((from, to) -> from == 1 || to == 1 && from != 0);
        send(0, 1, new byte[] {1, 1});
        send(2, 1, new byte[] {2, 1});
        send(1, 0, new byte[] {3, 1});
        assertEquals(2, receive(1, 5_000).getData()[0]);
        assertEquals(3, receive(0, 5_000).getData()[0]);
        assertEquals(1, relay.dropped());
        relay.setConnectivity((from, to) -> true);
        send(0, 1, new byte[] {4, 1});
        assertEquals(4, receive(1, 5_000).getData()[0]);
    }
}
