package passhatch.lab.drill;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Addresses on this machine, and calls to the processes there. */
final class Local {

    private static final int ASK_WITHIN_MS = 1_000;

    private Local() {}

    /** An address that is free now; another may take it before it is used. */
    static InetSocketAddress freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** The same for datagrams. */
    static InetSocketAddress freeUdpPort() throws IOException {
        try (DatagramChannel socket = DatagramChannel.open()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            return (InetSocketAddress) socket.getLocalAddress();
        }
    }

    static String text(InetSocketAddress address) {
        return String.format(
                Locale.ROOT, "%s:%d", address.getAddress().getHostAddress(), address.getPort());
    }

    /** What a control address answers to a call; nothing where it does not answer. */
    static String ask(InetSocketAddress control, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(control, ASK_WITHIN_MS);
            socket.setSoTimeout(ASK_WITHIN_MS);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException none) {
            return "";
        }
    }
}
