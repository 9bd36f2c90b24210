package passhatch.proxy.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Reads a backend's answers and tells where they are no proper HTTP though Netty's decoder lets
 * them pass: a header line without a colon is taken for a header without a value there, bytes after
 * the end of an answer are taken for the start of the next, and any end of the connection, a reset
 * too, for the end of an answer without a length. The channel has to allow half-closure, as that
 * tells its peer's own end from all others.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    /** The first character of the status code, as in {@code HTTP/1.1 100}. */
    private static final int STATUS_AT = 9;

    private boolean inHead;
    private boolean startLine;
    private boolean interim;
    private boolean colon;
    private boolean continued;
    private int lineLength;
    private boolean malformed;
    private boolean peerEnded;

    /** A request has been written: what comes next is the head of its answer. */
    void expectAnswer() {
        beginHead();
        malformed = false;
    }

    /** Whether the head of the answer holds a line that is no header. */
    boolean malformed() {
        return malformed;
    }

    /** Whether bytes are there that belong to no answer read so far. */
    boolean surplus() {
        return actualReadableBytes() > 0;
    }

    /** Whether the peer has ended its sending in an orderly way: nothing more can come. */
    boolean peerEnded() {
        return peerEnded;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        peerEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(ctx, event);
    }

    /** What the connection's end makes whole: nothing, unless the peer has ended it. */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (peerEnded) {
            super.decodeLast(ctx, in, out);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            for (int i = bytes.readerIndex(); inHead && i < bytes.writerIndex(); i++) {
                check(bytes.getByte(i));
            }
        }
        super.channelRead(ctx, message);
    }

    private void beginHead() {
        inHead = true;
        startLine = true;
        interim = false;
        beginLine();
    }

    private void beginLine() {
        colon = false;
        continued = false;
        lineLength = 0;
    }

    private void check(byte b) {
        if (b == '\n') {
            endLine();
        } else if (b != '\r') {
            colon |= b == ':';
            continued |= lineLength == 0 && (b == ' ' || b == '\t');
            interim |= startLine && lineLength == STATUS_AT && b == '1';
            lineLength++;
        }
    }

    private void endLine() {
        if (lineLength == 0 && !startLine) {
            inHead = false;
            if (interim) {
                beginHead();
            }
            return;
        }
        malformed |= !startLine && !colon && !continued;
        startLine &= lineLength == 0;
        beginLine();
    }
}
