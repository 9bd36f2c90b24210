package passhatch.proxy.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import passhatch.proxy.base.KnownHeaders;

/**
 * Decodes a backend's responses, keeps only the header fields that the proxy uses, and detects
 * malformed HTTP that Netty's decoder accepts. Netty takes a header line without a colon for a
 * header without a value. It takes bytes after the end of a response for the start of the next
 * response. If a response has no length, Netty takes any end of the connection, even a reset, for
 * the end of the response. The channel must allow half-closure, because only then can an orderly
 * close by the peer be distinguished from any other end of the connection.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    static final String LOAD_HEADER = "X-Load";
    static final String NOT_RUN_HEADER = "X-Not-Run";

    private static final HttpDecoderConfig CONFIG =
            KnownHeaders.decoderConfig(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    LOAD_HEADER,
                    NOT_RUN_HEADER);

    /** Offset of the status code in the status line, as in {@code HTTP/1.1 100}. */
    private static final int STATUS_CODE_OFFSET = 9;

    private boolean inHead;
    private boolean inStartLine;
    private boolean interim;
    private boolean colonSeen;
    private boolean foldedLine;
    private int lineLength;
    private boolean malformed;
    private boolean peerHalfClosed;

    ResponseDecoder() {
        super(CONFIG);
    }

    /**
     * Prepares for the response to a request. Must be called when the request is written, so that
     * the next input is the head of its response.
     */
    void expectResponse() {
        beginHead();
        malformed = false;
    }

    /**
     * Returns whether the head of the current response contains a line that is not a valid header.
     */
    boolean malformed() {
        return malformed;
    }

    /**
     * Returns whether undecoded bytes remain. Such bytes do not belong to any of the responses that
     * have been read.
     */
    boolean hasUnsolicitedBytes() {
        return actualReadableBytes() > 0;
    }

    /**
     * Returns whether the peer has closed its side in an orderly way, so that nothing more can
     * arrive.
     */
    boolean peerHalfClosed() {
        return peerHalfClosed;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        peerHalfClosed |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(ctx, event);
    }

    /**
     * Completes a response at the end of the connection only if the peer closed the connection in
     * an orderly way.
     */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (peerHalfClosed) {
            super.decodeLast(ctx, in, out);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            for (int i = bytes.readerIndex(); inHead && i < bytes.writerIndex(); i++) {
                checkByte(bytes.getByte(i));
            }
        }
        super.channelRead(ctx, message);
    }

    private void beginHead() {
        inHead = true;
        inStartLine = true;
        interim = false;
        beginLine();
    }

    private void beginLine() {
        colonSeen = false;
        foldedLine = false;
        lineLength = 0;
    }

    private void checkByte(byte b) {
        if (b == '\n') {
            endLine();
        } else if (b != '\r') {
            colonSeen |= b == ':';
            foldedLine |= lineLength == 0 && (b == ' ' || b == '\t');
            interim |= inStartLine && lineLength == STATUS_CODE_OFFSET && b == '1';
            lineLength++;
        }
    }

    private void endLine() {
        if (lineLength == 0 && !inStartLine) {
            inHead = false;
            if (interim) {
                beginHead();
            }
            return;
        }
        malformed |= !inStartLine && !colonSeen && !foldedLine;
        inStartLine &= lineLength == 0;
        beginLine();
    }
}
