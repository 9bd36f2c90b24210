package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpMethod;
import passhatch.proxy.flow.RequestBody;

/**
 * A client's request.
 *
 * @param requestClass index of the request's class in the settings
 * @param tenant index of the request's tenant in the settings
 * @param timeoutUs how long the client waits for the response after it has sent the whole request,
 *     in microseconds
 * @param costHintUs the client's estimate of the time that the request's work takes, in
 *     microseconds; 0 if there is no estimate
 * @param clientRetry whether the client marks the request as a retry
 * @param uri path and query, forwarded unchanged
 * @param idempotencyKey value of the Idempotency-Key header, or null if there is none
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
