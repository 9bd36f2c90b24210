package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests. Rejects a request that has both Content-Length and Transfer-Encoding, because
 * HTTP implementations differ on which of the two headers determines the length of the body.
 */
final class RequestDecoder extends HttpRequestDecoder {

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
