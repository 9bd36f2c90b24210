package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpMethod;
import passhatch.proxy.flow.RequestBody;

/**
 * A caller's request.
 *
 * @param requestClass its class, by position in the settings
 * @param tenant its tenant, by position
 * @param timeoutUs how long its client waits from the moment it has sent all of it
 * @param costHintUs a guess at its work; 0 where there is none
 * @param clientRetry true where the client says that it tries again
 * @param uri path and query, to go on unchanged
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
