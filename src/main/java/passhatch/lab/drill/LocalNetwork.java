package passhatch.lab.drill;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Finds free addresses on this machine and sends control calls to local processes. */
final class LocalNetwork {

    private static final int CALL_TIMEOUT_MS = 1_000;

    private LocalNetwork() {}

    /**
     * Returns a TCP address that is currently free. Another process may take it before the caller
     * uses it.
     */
    static InetSocketAddress freeTcpAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /**
     * Returns a UDP address that is currently free. Another process may take it before the caller
     * uses it.
     */
    static InetSocketAddress freeUdpAddress() throws IOException {
        try (DatagramChannel socket = DatagramChannel.open()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return (InetSocketAddress) socket.getLocalAddress();
        }
    }

    static String format(InetSocketAddress address) {
        return String.format(
                Locale.ROOT, "%s:%d", address.getAddress().getHostAddress(), address.getPort());
    }

    /**
     * Sends a control call to the process at an address and returns the answer; an empty text if
     * there is no answer.
     */
    static String ask(InetSocketAddress control, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(control, CALL_TIMEOUT_MS);
            socket.setSoTimeout(CALL_TIMEOUT_MS);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException none) {
            return "";
        }
    }
}
