package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import passhatch.proxy.client.ProxyRequest;
import passhatch.proxy.flow.RequestBody;

/** Builds the HTTP requests that are sent to backends. */
final class BackendRequests {

    private BackendRequests() {}

    /**
     * Builds the request that forwards a client's request to a backend. If the body is streamed,
     * the result is only the head of the request.
     *
     * @param timeLeftUs how long the proxy waits for the response, in microseconds
     */
    static HttpRequest buildRequest(ProxyRequest request, long timeLeftUs) {
        RequestBody body = request.body();
        HttpRequest message;
        if (body.isLong()) {
            message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
            if (body.declaredLength() >= 0) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.declaredLength());
            } else {
                message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
        } else {
            ByteBuf bytes = body.replayableBytes();
            int length = bytes.readableBytes();
            message =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, request.method(), request.uri(), bytes);
            if (!request.method().equals(HttpMethod.GET) || length > 0) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            }
        }
        message.headers()
                .set(HttpHeaderNames.HOST, "backend")
                .set("X-Request-Id", request.id())
                .set("X-Deadline", Math.max(1, timeLeftUs) + "u");
        if (request.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", request.idempotencyKey());
        }
        return message;
    }

    /** Builds the request that asks a backend for its load. */
    static HttpRequest buildProbe() {
        HttpRequest message =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/status/load");
        message.headers().set(HttpHeaderNames.HOST, "backend");
        return message;
    }
}
