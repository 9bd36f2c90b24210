import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/**
 * The way between one process and one address it sends datagrams to. The process sends to {@link
 * #port}; answers reach it from there. While the link is cut, all datagrams are lost.
 */
final class UdpLink {
    private final DatagramSocket near;
    private final DatagramSocket far;
    private volatile SocketAddress user;
    private volatile boolean cut;
    private volatile long dropped;

    UdpLink(int targetPort) throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        near = new DatagramSocket(new InetSocketAddress(loopback, 0));
        far = new DatagramSocket(new InetSocketAddress(loopback, 0));
        SocketAddress target = new InetSocketAddress(loopback, targetPort);
        carry(near, far, () -> target);
        carry(far, near, () -> user);
    }

    private interface Receiver {
        SocketAddress get();
    }

    private void carry(DatagramSocket from, DatagramSocket to, Receiver receiver) {
        Thread thread =
                new Thread(
                        () -> {
                            byte[] buffer = new byte[2_048];
                            while (true) {
                                try {
                                    DatagramPacket packet =
                                            new DatagramPacket(buffer, buffer.length);
                                    from.receive(packet);
                                    if (from == near) {
                                        user = packet.getSocketAddress();
                                    }
                                    if (cut || receiver.get() == null) {
                                        dropped++;
                                        continue;
                                    }
                                    packet.setSocketAddress(receiver.get());
                                    to.send(packet);
                                } catch (IOException failed) {
                                    dropped++;
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return near.getLocalPort();
    }

    void setCut(boolean on) {
        cut = on;
    }
}
