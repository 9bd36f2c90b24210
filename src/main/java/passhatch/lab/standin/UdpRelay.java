package passhatch.lab.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The way between the program's processes: each of them has one address for every other, and a
 * datagram to it comes out at that one from the sender's own address there; or late, twice, out of
 * order, cut, or never.
 *
 * <p>One thread carries them all. A datagram over the platform's 256 bytes is counted and not
 * carried.
 */
public final class UdpRelay implements Closeable {

    /** The most bytes of a datagram on the platform. */
    public static final int MOST_BYTES = 256;

    /**
     * What happens to datagrams. Shares are from 0 to 1; each datagram draws for itself.
     *
     * @param lost share that never arrives
     * @param doubled share that arrives twice
     * @param cut share of which only the first half arrives
     * @param reordered share that later ones overtake: it is held for ten times the delay and 20 ms
     * @param delayUs how late all arrive, in microseconds
     * @param jitterUs and up to so much more, drawn evenly
     */
    public record Weather(
            double lost,
            double doubled,
            double cut,
            double reordered,
            long delayUs,
            long jitterUs) {
        /** Nothing happens. */
        public static final Weather FAIR = new Weather(0, 0, 0, 0, 0, 0);
    }

    private record Link(int from, int to) {}

    private record Due(long atNs, long number, Link link, byte[] bytes) {}

    private final Selector selector = Selector.open();
    private final UniformRandomProvider random;
    private final int members;
    private final DatagramChannel[][] sockets;
    private final InetSocketAddress[] listens;
    private final PriorityQueue<Due> late =
            new PriorityQueue<>(Comparator.comparingLong(Due::atNs).thenComparingLong(Due::number));
    private final AtomicReference<Weather> weather = new AtomicReference<>(Weather.FAIR);
    private final AtomicReference<BiPredicate<Integer, Integer>> passes =
            new AtomicReference<>((a, b) -> true);
    private final LongAdder carried = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder tooLong = new LongAdder();
    private final Thread thread = new Thread(this::run, "relay");
    private long number;

    /**
     * Opens a socket for each ordered pair of members; their listening addresses come by {@link
     * #listens}.
     *
     * @throws IOException where there are not enough descriptors or ports
     */
    public UdpRelay(int members, UniformRandomProvider random) throws IOException {
        this.members = members;
        this.random = random;
        this.sockets = new DatagramChannel[members][members];
        this.listens = new InetSocketAddress[members];
        for (int from = 0; from < members; from++) {
            for (int to = 0; to < members; to++) {
                DatagramChannel socket = DatagramChannel.open();
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                socket.configureBlocking(false);
                socket.register(selector, SelectionKey.OP_READ, new Link(from, to));
                sockets[from][to] = socket;
            }
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Where a member receives. */
    public synchronized void listens(int member, InetSocketAddress at) {
        listens[member] = at;
    }

    /** The addresses of all members as one of them sees them, by their numbers. */
    public List<InetSocketAddress> peersOf(int member) throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (int to = 0; to < members; to++) {
            peers.add((InetSocketAddress) sockets[member][to].getLocalAddress());
        }
        return peers;
    }

    /** What happens to datagrams from now on. */
    public void weather(Weather now) {
        weather.set(now);
    }

    /** Which ordered pairs of members reach each other from now on. */
    public void connected(BiPredicate<Integer, Integer> pairs) {
        passes.set(pairs);
    }

    /** Datagrams that arrived, one that was doubled twice. */
    public long carried() {
        return carried.sum();
    }

    /** Datagrams that never arrived, by a fault or as their receiver is not there. */
    public long dropped() {
        return dropped.sum();
    }

    /** Datagrams that the platform would not have allowed. */
    public long tooLong() {
        return tooLong.sum();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
        try {
            while (selector.isOpen()) {
                long waitMs =
                        late.isEmpty()
                                ? 0
                                : Math.max(
                                        1,
                                        TimeUnit.NANOSECONDS.toMillis(
                                                        late.peek().atNs() - System.nanoTime())
                                                + 1);
                selector.select(key -> take(key, buffer), waitMs);
                while (!late.isEmpty() && late.peek().atNs() <= System.nanoTime()) {
                    deliver(late.poll());
                }
            }
        } catch (IOException | ClosedSelectorException over) {
            // It was closed.
        }
    }

    private void take(SelectionKey key, ByteBuffer buffer) {
        Link link = (Link) key.attachment();
        try {
            DatagramChannel socket = (DatagramChannel) key.channel();
            for (buffer.clear(); socket.receive(buffer) != null; buffer.clear()) {
                route(link, Arrays.copyOf(buffer.array(), buffer.position()));
            }
        } catch (IOException broken) {
            // One socket's error, as of a receiver that is not there, is a datagram lost.
            dropped.increment();
        }
    }

    private void route(Link link, byte[] bytes) {
        Weather now = weather.get();
        if (bytes.length > MOST_BYTES) {
            tooLong.increment();
            return;
        }
        if (!passes.get().test(link.from(), link.to()) || random.nextDouble() < now.lost()) {
            dropped.increment();
            return;
        }
        byte[] whole =
                random.nextDouble() < now.cut() ? Arrays.copyOf(bytes, bytes.length / 2) : bytes;
        int copies = random.nextDouble() < now.doubled() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayUs = now.delayUs() + (long) (random.nextDouble() * now.jitterUs());
            if (random.nextDouble() < now.reordered()) {
                delayUs = 10 * delayUs + 20_000;
            }
            Due due =
                    new Due(
                            System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(delayUs),
                            number++,
                            link,
                            whole);
            if (delayUs == 0) {
                deliver(due);
            } else {
                late.add(due);
            }
        }
    }

    /** From the receiver's address of the sender, so that it can tell who spoke. */
    private void deliver(Due due) {
        InetSocketAddress to;
        synchronized (this) {
            to = listens[due.link().to()];
        }
        try {
            if (to == null
                    || sockets[due.link().to()][due.link().from()].send(
                                    ByteBuffer.wrap(due.bytes()), to)
                            == 0) {
                dropped.increment();
            } else {
                carried.increment();
            }
        } catch (IOException gone) {
            dropped.increment();
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (DatagramChannel[] row : sockets) {
            for (DatagramChannel socket : row) {
                socket.close();
            }
        }
    }
}
