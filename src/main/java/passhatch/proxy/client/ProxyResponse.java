package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;

/**
 * A final response to a client.
 *
 * @param retryAfter the value of the Retry-After header in seconds; null if the response has no
 *     such header
 */
public record ProxyResponse(HttpResponseStatus status, String retryAfter, byte[] body) {

    private static final byte[] NO_BODY = {};

    public static ProxyResponse served(byte[] body) {
        return new ProxyResponse(HttpResponseStatus.OK, null, body);
    }

    /**
     * Returns a 503 response, which tells the client that it can safely send the request again.
     *
     * @param retryAfterUs value of the Retry-After header in microseconds; the header is omitted if
     *     it is 0 or less
     */
    public static ProxyResponse refused(long retryAfterUs) {
        String seconds =
                retryAfterUs <= 0
                        ? null
                        : BigDecimal.valueOf(retryAfterUs, 6).stripTrailingZeros().toPlainString();
        return new ProxyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, seconds, NO_BODY);
    }

    /** Returns a 502 response, which does not tell the client whether the request ran. */
    public static ProxyResponse failed() {
        return new ProxyResponse(HttpResponseStatus.BAD_GATEWAY, null, NO_BODY);
    }

    static ProxyResponse of(HttpResponseStatus status) {
        return new ProxyResponse(status, null, NO_BODY);
    }
}
