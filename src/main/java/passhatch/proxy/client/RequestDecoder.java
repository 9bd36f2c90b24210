package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those whose head declares the length in two ways: peers differ on
 * which one counts.
 */
final class RequestDecoder extends HttpRequestDecoder {

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
