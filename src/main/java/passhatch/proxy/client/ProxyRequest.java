package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpMethod;
import passhatch.proxy.flow.RequestBody;

/**
 * A client's request.
 *
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param timeoutUs how long the client waits after it has sent the whole request, in microseconds
 * @param costHintUs the client's estimate of the request's work, in microseconds; 0 if there is
 *     none
 * @param clientRetry whether the client marks the request as a retry
 * @param uri path and query, forwarded unchanged
 * @param idempotencyKey the key of a keyed request, or null
 */
public record ProxyRequest(
        String id,
        int requestClass,
        int tenant,
        long timeoutUs,
        long costHintUs,
        boolean clientRetry,
        HttpMethod method,
        String uri,
        String idempotencyKey,
        RequestBody body) {}
