package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests, and rejects a request whose head declares its length in two ways, because
 * implementations differ on which of the two counts.
 */
final class RequestDecoder extends HttpRequestDecoder {

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
