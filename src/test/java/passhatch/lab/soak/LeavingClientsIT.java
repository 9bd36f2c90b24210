package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that leave without waiting for their responses. */
@Timeout(120)
class LeavingClientsIT extends ProxyProcessCase {

    private static final int ROW = 12;
    private static final int LONG_BODY_BYTES = 900_000;
    private static final byte[] NO_BODY = new byte[0];

    private int lastId;

    /**
     * Guards against requests that are sent on although their client has left behind a long body.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingIsSentOnForAClientThatLeftBehindUnreadBytes(boolean reset) throws Exception {
        startProxy(144);
        for (int round = 0; round < 5; round++) {
            List<ProxyClient> clients = new ArrayList<>();
            List<ClientRequest> requests = new ArrayList<>();
            for (int c = 0; c < 12; c++) {
                ProxyClient client = new ProxyClient(testbed.address());
                clients.add(client);
                requests.addAll(sendRow(client));
                if (c % 2 == 0) {
                    requests.add(sendLongBody(client));
                }
            }
            leave(clients, requests, reset);
            Thread.sleep(1_000);
        }
        assertNoViolation();
    }

    private List<ClientRequest> sendRow(ProxyClient client) throws IOException {
        List<ClientRequest> row = new ArrayList<>();
        for (int i = 0; i < ROW; i++) {
            ClientRequest request = newRequest(RequestKind.values()[i % 3], 1_500);
            client.send(request, "work=60", NO_BODY);
            row.add(request);
        }
        return row;
    }

    /** Sends as much of a request with a long body as the sockets take at once. */
    private ClientRequest sendLongBody(ProxyClient client) throws InterruptedException {
        ClientRequest request = newRequest(RequestKind.NOTICE, 1_500);
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                client.send(request, "work=60", new byte[LONG_BODY_BYTES]);
                            } catch (IOException left) {
                                // The client leaves before all of it is sent.
                            }
                        });
        writer.setDaemon(true);
        writer.start();
        writer.join(20);
        return request;
    }

    /** Guards against requests that are sent on although their client left during a stop. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void nothingIsSentOnForAClientThatLeftWhileTheProcessWasStopped(boolean reset)
            throws Exception {
        startProxy(144);
        for (int round = 0; round < 4; round++) {
            openConnectionsToBackends();
            suspendProcess();
            List<ProxyClient> clients = new ArrayList<>();
            List<ClientRequest> requests = new ArrayList<>();
            for (int c = 0; c < 60; c++) {
                ProxyClient client = new ProxyClient(testbed.address());
                clients.add(client);
                ClientRequest request = newRequest(RequestKind.NOTICE, 238);
                requests.add(request);
                client.send(request, "", NO_BODY);
            }
            Thread.sleep(238);
            leave(clients, requests, reset);
            Thread.sleep(350);
            testbed.process().signal("CONT");
            Thread.sleep(700);
        }
        assertNoViolation();
    }

    /** Serves requests, so that the proxy has idle connections to the backends. */
    private void openConnectionsToBackends() throws InterruptedException {
        try (Bystanders bystanders = new Bystanders(testbed, "warm-" + lastId++, 100)) {
            Thread.sleep(500);
            assertAllServed(bystanders.stop());
        }
    }

    /** Guards against an unsafe request that runs again when its id comes back. */
    @Test
    void anUnsafeRequestDoesNotRunAgainForAClientThatComesBack() throws Exception {
        startProxy(144);
        for (int round = 0; round < 40; round++) {
            sendAgainAfterLeaving(5 + 95L * round / 40);
        }
        Thread.sleep(500);
        assertNoViolation();
    }

    /** Guards against an unsafe request that runs again at the other process of an upgrade. */
    @Test
    void anUnsafeRequestDoesNotRunAgainAtTheOtherProcessOfAnUpgrade() throws Exception {
        startProxy(192);
        testbed.startNewerProcess();
        Thread.sleep(4_000);
        for (int round = 0; round < 60; round++) {
            sendAgainAfterLeaving(40);
        }
        Thread.sleep(500);
        assertNoViolation();
        assertTrue(testbed.process().isAlive());
        assertEquals(
                60,
                testbed.records.attempts.stream().map(BackendAttempt::id).distinct().count(),
                "requests that ran once");
    }

    private void sendAgainAfterLeaving(long leavesAfterMs) throws Exception {
        ClientRequest first = newRequest(RequestKind.NOTICE, 1_500);
        try (ProxyClient client = new ProxyClient(testbed.address())) {
            client.send(first, "work=150", NO_BODY);
            Thread.sleep(leavesAfterMs);
            first.leftNs = client.leave(false);
        }
        ClientRequest again = testbed.records.newRequest(first.id, RequestKind.NOTICE, 1_500);
        try (ProxyClient client = new ProxyClient(testbed.address())) {
            client.send(again, "work=150", NO_BODY);
            client.readResponse(again, 0, 3_000);
        }
    }

    private ClientRequest newRequest(RequestKind kind, long timeoutMs) {
        return testbed.records.newRequest("leaver-" + lastId++, kind, timeoutMs);
    }

    private static void leave(
            List<ProxyClient> clients, List<ClientRequest> requests, boolean reset)
            throws IOException {
        for (ProxyClient client : clients) {
            client.leave(reset);
        }
        long leftNs = System.nanoTime();
        requests.forEach(request -> request.leftNs = leftNs);
    }
}
