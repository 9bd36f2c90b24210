package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Reads requests, and takes none whose head tells its end in two ways: peers differ on which
 * counts.
 */
final class RequestDecoder extends HttpRequestDecoder {

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
