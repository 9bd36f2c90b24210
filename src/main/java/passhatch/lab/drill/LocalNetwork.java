package passhatch.lab.drill;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reserves addresses on this machine and sends control calls to local processes. */
public final class LocalNetwork {

    private static final int CALL_TIMEOUT_MS = 1_000;

    /** The ports that this process gives out; null until the first is needed. */
    private static PortBlock portBlock;

    private LocalNetwork() {}

    /**
     * Returns a loopback address for a process that is started later. Its port is free for TCP and
     * UDP, and stays so: no other process reserves it, and no socket without a fixed port gets it.
     *
     * @throws IOException if no port is free
     */
    public static synchronized InetSocketAddress reserveAddress() throws IOException {
        if (portBlock == null) {
            portBlock = PortBlock.reserve();
        }
        return portBlock.nextFreeAddress();
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
