package passhatch.proxy.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** When the source of a body is paused. */
final class RelayTest {

    /** A peer that accepts writes and completes them when the test says so. */
    private static final class Peer extends ChannelOutboundHandlerAdapter {
        final ArrayDeque<ChannelPromise> writes = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            writes.add(promise);
        }
    }

    private final BufferBudget budget = new BufferBudget(1_000);
    private final Peer peer = new Peer();
    private final EmbeddedChannel channel = new EmbeddedChannel(peer);
    private boolean reading = true;
    private String result = "";

    private Relay relay(EmbeddedChannel to) {
        to.config()
                .setOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(10, 1 << 20));
        return new Relay(
                to.eventLoop(),
                budget,
                on -> reading = on,
                to,
                new Relay.Listener() {
                    @Override
                    public void completed() {
                        result += "completed";
                    }

                    @Override
                    public void failed() {
                        result += "failed";
                    }
                });
    }

    private static ByteBuf bytes(int size) {
        return Unpooled.wrappedBuffer(new byte[size]);
    }

    @Test
    void theSourceIsPausedWhileTooMuchIsBufferedAndSomeOfItIsItsOwn() {
        Relay relay = relay(channel);
        relay.forward(bytes(600));
        assertTrue(reading);
        relay.forward(bytes(600));
        assertFalse(reading, "1200 of 1000 bytes are buffered");
        peer.writes.poll().setSuccess();
        assertTrue(reading);
        assertEquals(600, budget.bufferedBytes());
    }

    /** Otherwise relays with much buffered could block all others, and in turn wait for them. */
    @Test
    void aSourceWithoutBufferedBytesIsReadThoughOthersBufferTooMuch() {
        budget.add(5_000);
        Relay relay = relay(channel);
        relay.forward(bytes(1));
        assertFalse(reading);
        peer.writes.poll().setSuccess();
        assertTrue(reading);
    }

    /** Guards against a source that is paused although nothing waits for it to be resumed. */
    @Test
    void theSourceIsReadOrAWriteIsPendingInWhateverOrderBytesSilenceAndWritesCome() {
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            reading = false;
            peer.writes.clear();
            Relay relay = relay(channel);
            relay.start(bytes(random.nextInt(3) == 0 ? random.nextInt(2_000) : 0));
            for (int step = 0; step < 20; step++) {
                if (reading && random.nextBoolean()) {
                    relay.forward(bytes(random.nextInt(1_500)));
                } else if (!peer.writes.isEmpty()) {
                    peer.writes.poll().setSuccess();
                }
                assertTrue(reading || !peer.writes.isEmpty(), "stuck, seed " + seed);
            }
            while (!peer.writes.isEmpty()) {
                peer.writes.poll().setSuccess();
            }
            assertTrue(reading, "not resumed, seed " + seed);
            relay.stop();
        }
    }

    @Test
    void completesOnceAndReleasesItsBufferedBytes() {
        Relay relay = relay(channel);
        relay.forward(bytes(10));
        relay.finish();
        assertEquals("", result);
        peer.writes.poll().setSuccess();
        peer.writes.poll().setSuccess();
        relay.finish();
        assertEquals("completed", result);
        assertEquals(0, budget.bufferedBytes());
    }

    @Test
    void aFailedWriteEndsTheRelay() {
        Relay relay = relay(channel);
        relay.forward(bytes(10));
        peer.writes.poll().setFailure(new java.io.IOException("gone"));
        relay.forward(bytes(10));
        assertEquals("failed", result);
        assertEquals(0, budget.bufferedBytes());
    }

    @Test
    void aRelayWithoutProgressFails() {
        EmbeddedChannel slow = new EmbeddedChannel(new Peer());
        slow.freezeTime();
        Relay relay = relay(slow);
        relay.forward(bytes(10));
        slow.advanceTimeBy(40, TimeUnit.SECONDS);
        slow.runScheduledPendingTasks();
        assertEquals("", result, "there was progress within the first 30 s");
        slow.advanceTimeBy(40, TimeUnit.SECONDS);
        slow.runScheduledPendingTasks();
        assertEquals("failed", result);
    }
}
