package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import passhatch.proxy.base.KnownHeaders;

/**
 * Decodes requests and keeps only the header fields that the proxy uses. Rejects a request that has
 * both Content-Length and Transfer-Encoding, because HTTP implementations differ on which of the
 * two headers determines the length of the body.
 */
final class RequestDecoder extends HttpRequestDecoder {

    private static final HttpDecoderConfig CONFIG =
            KnownHeaders.decoderConfig(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.EXPECT,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    RequestParser.ID_HEADER,
                    RequestParser.TENANT_HEADER,
                    RequestParser.DEADLINE_HEADER,
                    RequestParser.COST_HINT_HEADER,
                    RequestParser.RETRY_HEADER,
                    RequestParser.IDEMPOTENCY_KEY_HEADER);

    RequestDecoder() {
        super(CONFIG);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
