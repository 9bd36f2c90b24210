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
final class ResponseDecoder extends HttpResponseDecoder {

    /** The first character of the status code, as in {@code HTTP/1.1 100}. */
    private static final int STATUS_CODE_OFFSET = 9;

    private boolean inHead;
    private boolean inStartLine;
    private boolean interim;
    private boolean colonSeen;
    private boolean foldedLine;
    private int lineLength;
    private boolean malformed;
    private boolean peerHalfClosed;

    /** A request has been written: what comes next is the head of its answer. */
    void expectResponse() {
        startHead();
        malformed = false;
    }

    /** Whether the head of the answer holds a line that is no header. */
    boolean malformed() {
        return malformed;
    }

    /** Whether bytes are there that belong to no answer read so far. */
    boolean hasUnsolicitedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Whether the peer has ended its sending in an orderly way: nothing more can come. */
    boolean peerHalfClosed() {
        return peerHalfClosed;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        peerHalfClosed |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(ctx, event);
    }

    /** What the connection's end makes whole: nothing, unless the peer has ended it. */
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

    private void startHead() {
        inHead = true;
        inStartLine = true;
        interim = false;
        startLine();
    }

    private void startLine() {
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
                startHead();
            }
            return;
        }
        malformed |= !inStartLine && !colonSeen && !foldedLine;
        inStartLine &= lineLength == 0;
        startLine();
    }
}
