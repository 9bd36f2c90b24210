package passhatch.lab.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** Well-behaved clients that send short requests at a steady rate on connections that they keep. */
final class Bystanders implements AutoCloseable {

    private static final int PATIENCE_MS = 6_000;
    private static final int DRAIN_TIMEOUT_S = 20;

    private final ProxyTestbed testbed;
    private final String name;
    private final long intervalNs;
    private final List<ClientRequest> requests = new ArrayList<>();
    private final Queue<ProxyClient> idle = new ConcurrentLinkedQueue<>();
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final Thread sender;
    private volatile boolean stopped;

    /** Starts to send the given number of requests a second. */
    Bystanders(ProxyTestbed testbed, String name, int perSecond) {
        this.testbed = testbed;
        this.name = name;
        this.intervalNs = TimeUnit.SECONDS.toNanos(1) / perSecond;
        this.sender = new Thread(this::sendSteadily, "bystanders");
        sender.start();
    }

    private void sendSteadily() {
        long nextNs = System.nanoTime();
        for (int n = 0; !stopped; n++) {
            RequestKind kind = RequestKind.values()[n % RequestKind.values().length];
            ClientRequest request =
                    testbed.records.newRequest(name + "-" + n, kind, kind.deadlineMs);
            requests.add(request);
            try {
                workers.execute(() -> send(request));
            } catch (RejectedExecutionException closed) {
                return;
            }
            nextNs += intervalNs;
            sleepUntil(nextNs);
        }
    }

    private static void sleepUntil(long ns) {
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, ns - System.nanoTime()));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends a request. If a kept connection is closed without a byte of a response, the request
     * crossed the close and is sent once more on a new connection, as the protocol says.
     */
    private void send(ClientRequest request) {
        ProxyClient kept = idle.poll();
        if (kept == null || !sendOn(kept, request)) {
            request.connectionLost = false;
            request.sentNs = 0;
            request.resentNs = kept == null ? 0 : System.nanoTime();
            try {
                sendOn(new ProxyClient(testbed.address()), request);
            } catch (IOException refused) {
                request.connectionLost = true;
            }
        }
    }

    /** Returns whether anything of a response came. */
    private boolean sendOn(ProxyClient client, ClientRequest request) {
        try {
            client.send(request, "", new byte[0]);
            client.readResponse(request, 0, PATIENCE_MS);
        } catch (IOException closed) {
            request.connectionLost = true;
            return false;
        }
        if (!client.ended()) {
            idle.add(client);
        }
        return request.status != 0;
    }

    /** Stops sending, waits for the open requests and returns all of them. */
    List<ClientRequest> stop() throws InterruptedException {
        stopped = true;
        sender.join();
        workers.shutdown();
        workers.awaitTermination(DRAIN_TIMEOUT_S, TimeUnit.SECONDS);
        return requests;
    }

    /** Stops sending and closes the connections, without waiting for open requests. */
    @Override
    public void close() {
        stopped = true;
        workers.shutdown();
        for (ProxyClient client : idle) {
            try {
                client.close();
            } catch (IOException failed) {
                // Nothing is left to close.
            }
        }
    }
}
