package passhatch.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
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

    /** Size in bytes of the buffer for a head of which little has been received. */
    private static final int MIN_HEAD_BUFFER_BYTES = 256;

    RequestDecoder() {
        super(CONFIG);
        setCumulator(RequestDecoder::cumulate);
    }

    /**
     * Copies a part of a head into a buffer that grows with the head. The buffer from which the
     * part was read is far larger, and many clients may leave their heads unfinished.
     */
    private static ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf undecoded, ByteBuf part) {
        if (part.readableBytes() > ReadAhead.MAX_HEAD_PART_BYTES) {
            return MERGE_CUMULATOR.cumulate(allocator, undecoded, part);
        }
        ByteBuf all = undecoded;
        boolean shared = undecoded.isReadOnly() || undecoded.refCnt() > 1;
        if (shared || !undecoded.isWritable(part.readableBytes())) {
            int bytes = undecoded.readableBytes() + part.readableBytes();
            all = Unpooled.buffer(Math.max(MIN_HEAD_BUFFER_BYTES, 2 * bytes));
            all.writeBytes(undecoded);
            undecoded.release();
        }
        all.writeBytes(part);
        part.release();
        return all;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
