package passhatch.proxy;

import io.netty.handler.codec.http.HttpResponseDecoder;

/** Reads a backend's answers and tells of bytes that come after their end. */
final class AnswerDecoder extends HttpResponseDecoder {

    /** Whether bytes are there that belong to no answer read so far. */
    boolean surplus() {
        return actualReadableBytes() > 0;
    }
}
