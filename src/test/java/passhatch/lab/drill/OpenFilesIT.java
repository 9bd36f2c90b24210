package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A proxy process that cannot open further files or sockets for a while. */
class OpenFilesIT extends OneProxyDrill {

    private static final int OPEN_FILES = 128;

    /** Exceeds the delay after which the proxy retries a call to discovery. */
    private static final long OVER_RETRY_DELAY_MS = 500;

    private static final long RECOVERY_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(2);

    OpenFilesIT() {
        super("open_files = " + OPEN_FILES, 1);
    }

    @Test
    void discoveryChangesArriveAgainAfterNoSocketCouldBeOpenedForACall() throws Exception {
        assertEquals(200, requestStatus());
        List<Socket> idle = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * OPEN_FILES; i++) {
                idle.add(
                        new Socket(
                                proxy.listenAddress().getAddress(),
                                proxy.listenAddress().getPort()));
            }
            injectFault("do = 'break'");
            Thread.sleep(OVER_RETRY_DELAY_MS);
            publishStatus("b", "SERVING");
        } finally {
            closeAll(idle);
        }
        long socketsFreedNs = System.nanoTime();
        await("the change", () -> listedHosts() == 2);
        assertTrue(
                System.nanoTime() - socketsFreedNs < RECOVERY_TIMEOUT_NS,
                "the change arrived too late");
        await("an answer", () -> requestStatus() == 200);
    }

    private static void closeAll(List<Socket> sockets) throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
