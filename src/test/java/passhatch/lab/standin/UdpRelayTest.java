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
import passhatch.lab.standin.UdpRelay.Weather;

class UdpRelayTest {

    private static final int MEMBERS = 3;
    private static final int MANY = 200;

    private final DatagramSocket[] members = new DatagramSocket[MEMBERS];
    private UdpRelay relay;

    @BeforeEach
    void open() throws IOException {
        relay = new UdpRelay(MEMBERS, new Seeds(7).stream("relay"));
        for (int i = 0; i < MEMBERS; i++) {
            members[i] = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            members[i].setReceiveBufferSize(1 << 20);
            relay.listens(i, (InetSocketAddress) members[i].getLocalSocketAddress());
        }
    }

    @AfterEach
    void close() throws IOException {
        relay.close();
        Arrays.stream(members).forEach(DatagramSocket::close);
    }

    private void send(int from, int to, byte[] bytes) throws IOException {
        members[from].send(new DatagramPacket(bytes, bytes.length, relay.peersOf(from).get(to)));
    }

    private DatagramPacket receive(int at, int withinMs) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[1024], 1024);
        members[at].setSoTimeout(withinMs);
        members[at].receive(packet);
        return packet;
    }

    /**
     * Sends many from 0 to 1, each with its number, and one more in fair weather that ends them.
     */
    private List<Integer> arrived(Weather weather) throws IOException {
        relay.weather(weather);
        for (int i = 0; i < MANY; i++) {
            send(0, 1, new byte[] {(byte) i, 1});
        }
        List<Integer> all = new ArrayList<>();
        try {
            while (true) {
                DatagramPacket packet = receive(1, 500);
                all.add(packet.getLength() == 2 ? packet.getData()[0] & 0xff : -1);
            }
        } catch (SocketTimeoutException none) {
            return all;
        }
    }

    @Test
    void carriesToTheReceiverFromTheSendersAddressThere() throws IOException {
        byte[] bytes = {1, 2, 3};
        send(0, 2, bytes);
        DatagramPacket got = receive(2, 5_000);
        assertArrayEquals(bytes, Arrays.copyOf(got.getData(), got.getLength()));
        assertEquals(relay.peersOf(2).get(0), got.getSocketAddress());
        send(0, 2, new byte[UdpRelay.MOST_BYTES + 1]);
        assertEquals(0, arrived(new Weather(1, 0, 0, 0, 0, 0)).size());
        assertEquals(1, relay.tooLong());
    }

    @Test
    void losesDoublesAndCutsAShare() throws IOException {
        assertEquals(MANY, arrived(Weather.FAIR).size());
        int left = arrived(new Weather(0.5, 0, 0, 0, 0, 0)).size();
        assertTrue(left > MANY / 4 && left < MANY * 3 / 4, left + " arrived");
        int doubled = arrived(new Weather(0, 0.5, 0, 0, 0, 0)).size();
        assertTrue(doubled > MANY * 5 / 4 && doubled < MANY * 7 / 4, doubled + " arrived");
        long cut = arrived(new Weather(0, 0, 0.5, 0, 0, 0)).stream().filter(n -> n < 0).count();
        assertTrue(cut > MANY / 4 && cut < MANY * 3 / 4, cut + " cut");
    }

    @Test
    void delaysAndReorders() throws IOException {
        List<Integer> sorted = arrived(Weather.FAIR);
        assertEquals(sorted.stream().sorted().toList(), sorted);
        List<Integer> mixed = arrived(new Weather(0, 0, 0, 0.2, 1_000, 0));
        assertEquals(MANY, mixed.size());
        assertTrue(!mixed.stream().sorted().toList().equals(mixed));
        relay.weather(new Weather(0, 0, 0, 0, 100_000, 0));
        long sentNs = System.nanoTime();
        send(0, 1, new byte[] {1, 1});
        receive(1, 5_000);
        assertTrue(System.nanoTime() - sentNs >= 100_000_000, "it came early");
    }

    @Test
    void partsOnlyThePairsThatItShall() throws IOException {
        relay.connected((from, to) -> from == 1 || to == 1 && from != 0);
        send(0, 1, new byte[] {1, 1});
        send(2, 1, new byte[] {2, 1});
        send(1, 0, new byte[] {3, 1});
        assertEquals(2, receive(1, 5_000).getData()[0]);
        assertEquals(3, receive(0, 5_000).getData()[0]);
        assertEquals(1, relay.dropped());
        relay.connected((from, to) -> true);
        send(0, 1, new byte[] {4, 1});
        assertEquals(4, receive(1, 5_000).getData()[0]);
    }
}
