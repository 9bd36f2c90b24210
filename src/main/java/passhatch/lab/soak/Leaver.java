package passhatch.lab.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A client that leaves without waiting for its responses. */
final class Leaver {

    private static final int MAX_ROW = 12;
    private static final int MAX_BODY_BYTES = 900_000;
    private static final int PATIENCE_MS = 6_000;
    private static final byte[] NO_BODY = new byte[0];

    private final Disturbance.Context context;

    Leaver(Disturbance.Context context) {
        this.context = context;
    }

    /** Sends some requests in a row, perhaps a part of a long one, and leaves. */
    void sendRowAndLeave() throws IOException, InterruptedException {
        List<ClientRequest> row = new ArrayList<>();
        ProxyClient client = new ProxyClient(context.testbed.address());
        try {
            for (int i = context.between(1, MAX_ROW); i > 0; i--) {
                ClientRequest request = context.newRequest(context.pick(RequestKind.values()));
                row.add(request);
                client.send(request, "work=" + context.between(1, 100), NO_BODY);
            }
            if (context.random.nextBoolean()) {
                row.add(sendLongRequest(client));
            }
            Thread.sleep(context.between(0, 200));
        } catch (IOException closed) {
            // The proxy has closed the connection; leaving is all that remains.
        }
        long leftNs = client.leave(context.random.nextBoolean());
        row.forEach(request -> request.leftNs = leftNs);
    }

    /** Sends as much of a long request as the sockets take in a moment. */
    private ClientRequest sendLongRequest(ProxyClient client) throws InterruptedException {
        ClientRequest request = context.newRequest(RequestKind.NOTICE);
        byte[] body = new byte[context.between(1, MAX_BODY_BYTES)];
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                client.send(request, "", body);
                            } catch (IOException left) {
                                // The client leaves before all of it is sent.
                            }
                        });
        writer.setDaemon(true);
        writer.start();
        writer.join(20);
        return request;
    }

    /** Leaves soon after an unsafe request and sends its id again on a new connection. */
    void leaveAndSendAgain() throws IOException, InterruptedException {
        String query = "work=" + context.between(1, 200);
        ClientRequest first = context.newRequest(RequestKind.NOTICE);
        try (ProxyClient client = new ProxyClient(context.testbed.address())) {
            client.send(first, query, NO_BODY);
            Thread.sleep(context.between(0, 120));
            first.leftNs = client.leave(context.random.nextBoolean());
        }
        ClientRequest again =
                context.testbed.records.newRequest(first.id, first.kind, first.timeoutMs);
        try (ProxyClient client = new ProxyClient(context.testbed.address())) {
            client.send(again, query, NO_BODY);
            client.readResponse(again, 0, PATIENCE_MS);
        }
    }
}
