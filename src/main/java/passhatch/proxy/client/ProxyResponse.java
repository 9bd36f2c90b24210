package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;

/**
 * A final answer.
 *
 * @param retryAfter the value of Retry-After, or null
 */
public record ProxyResponse(HttpResponseStatus status, String retryAfter, byte[] body) {

    private static final byte[] NO_BODY = {};

    public static ProxyResponse served(byte[] body) {
        return new ProxyResponse(HttpResponseStatus.OK, null, body);
    }

    /** Promises that trying again is harmless. */
    public static ProxyResponse refused(long retryAfterUs) {
        String seconds =
                retryAfterUs <= 0
                        ? null
                        : BigDecimal.valueOf(retryAfterUs, 6).stripTrailingZeros().toPlainString();
        return new ProxyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, seconds, NO_BODY);
    }

    /** Promises nothing. */
    public static ProxyResponse failed() {
        return new ProxyResponse(HttpResponseStatus.BAD_GATEWAY, null, NO_BODY);
    }

    static ProxyResponse of(HttpResponseStatus status) {
        return new ProxyResponse(status, null, NO_BODY);
    }
}
