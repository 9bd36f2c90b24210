package passhatch.lab.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients and backends recorded during a run. May be used by several threads. */
final class Records {
    final Queue<ClientRequest> requests = new ConcurrentLinkedQueue<>();
    final Queue<BackendAttempt> attempts = new ConcurrentLinkedQueue<>();

    /** Adds a record of a request that a client is about to send. */
    ClientRequest newRequest(String id, RequestKind kind, long timeoutMs) {
        ClientRequest request = new ClientRequest(id, kind, timeoutMs);
        requests.add(request);
        return request;
    }
}
