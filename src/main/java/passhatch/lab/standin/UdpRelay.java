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
    public static final int MAX_DATAGRAM_BYTES = 256;

    /**
     * What happens to datagrams. Shares are from 0 to 1; each datagram draws for itself.
     *
     * @param lossRate share that never arrives
     * @param duplicateRate share that arrives twice
     * @param truncateRate share of which only the first half arrives
     * @param reorderRate share that later ones overtake: it is held for ten times the delay and 20
     *     ms
     * @param delayUs how late all arrive, in microseconds
     * @param jitterUs and up to so much more, drawn evenly
     */
    public record NetworkConditions(
            double lossRate,
            double duplicateRate,
            double truncateRate,
            double reorderRate,
            long delayUs,
            long jitterUs) {
        /** Nothing happens. */
        public static final NetworkConditions UNIMPAIRED = new NetworkConditions(0, 0, 0, 0, 0, 0);
    }

    private record Link(int from, int to) {}

    private record DelayedDatagram(long dueNs, long sequenceNumber, Link link, byte[] bytes) {}

    private final Selector selector = Selector.open();
    private final UniformRandomProvider random;
    private final int members;
    private final DatagramChannel[][] sockets;
    private final InetSocketAddress[] listenAddresses;
    private final PriorityQueue<DelayedDatagram> delayed =
            new PriorityQueue<>(
                    Comparator.comparingLong(DelayedDatagram::dueNs)
                            .thenComparingLong(DelayedDatagram::sequenceNumber));
    private final AtomicReference<NetworkConditions> conditions =
            new AtomicReference<>(NetworkConditions.UNIMPAIRED);
    private final AtomicReference<BiPredicate<Integer, Integer>> connectivity =
            new AtomicReference<>((a, b) -> true);
    private final LongAdder delivered = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder oversized = new LongAdder();
    private final Thread thread = new Thread(this::run, "relay");
    private long nextSequenceNumber;

    /**
     * Opens a socket for each ordered pair of members; their listening addresses come by {@link
     * #listenAddresses}.
     *
     * @throws IOException where there are not enough descriptors or ports
     */
    public UdpRelay(int members, UniformRandomProvider random) throws IOException {
        this.members = members;
        this.random = random;
        this.sockets = new DatagramChannel[members][members];
        this.listenAddresses = new InetSocketAddress[members];
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
    public synchronized void setListenAddress(int member, InetSocketAddress address) {
        listenAddresses[member] = address;
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
    public void setConditions(NetworkConditions newConditions) {
        conditions.set(newConditions);
    }

    /** Which ordered pairs of members reach each other from now on. */
    public void setConnectivity(BiPredicate<Integer, Integer> newConnectivity) {
        connectivity.set(newConnectivity);
    }

    /** Datagrams that arrived, one that was doubled twice. */
    public long delivered() {
        return delivered.sum();
    }

    /** Datagrams that never arrived, by a fault or as their receiver is not there. */
    public long dropped() {
        return dropped.sum();
    }

    /** Datagrams that the platform would not have allowed. */
    public long oversized() {
        return oversized.sum();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
        try {
            while (selector.isOpen()) {
                long waitMs =
                        delayed.isEmpty()
                                ? 0
                                : Math.max(
                                        1,
                                        TimeUnit.NANOSECONDS.toMillis(
                                                        delayed.peek().dueNs() - System.nanoTime())
                                                + 1);
                selector.select(key -> receive(key, buffer), waitMs);
                while (!delayed.isEmpty() && delayed.peek().dueNs() <= System.nanoTime()) {
                    deliver(delayed.poll());
                }
            }
        } catch (IOException | ClosedSelectorException closed) {
            // It was closed.
        }
    }

    private void receive(SelectionKey key, ByteBuffer buffer) {
        Link link = (Link) key.attachment();
        try {
            DatagramChannel socket = (DatagramChannel) key.channel();
            for (buffer.clear(); socket.receive(buffer) != null; buffer.clear()) {
                route(link, Arrays.copyOf(buffer.array(), buffer.position()));
            }
        } catch (IOException socketError) {
            // One socket's error, as of a receiver that is not there, is a datagram lost.
            dropped.increment();
        }
    }

    private void route(Link link, byte[] bytes) {
        NetworkConditions current = conditions.get();
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            oversized.increment();
            return;
        }
        if (!connectivity.get().test(link.from(), link.to())
                || random.nextDouble() < current.lossRate()) {
            dropped.increment();
            return;
        }
        byte[] payload =
                random.nextDouble() < current.truncateRate()
                        ? Arrays.copyOf(bytes, bytes.length / 2)
                        : bytes;
        int copies = random.nextDouble() < current.duplicateRate() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayUs = current.delayUs() + (long) (random.nextDouble() * current.jitterUs());
            if (random.nextDouble() < current.reorderRate()) {
                delayUs = 10 * delayUs + 20_000;
            }
            DelayedDatagram datagram =
                    new DelayedDatagram(
                            System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(delayUs),
                            nextSequenceNumber++,
                            link,
                            payload);
            if (delayUs == 0) {
                deliver(datagram);
            } else {
                delayed.add(datagram);
            }
        }
    }

    /** From the receiver's address of the sender, so that it can tell who spoke. */
    private void deliver(DelayedDatagram datagram) {
        InetSocketAddress to;
        synchronized (this) {
            to = listenAddresses[datagram.link().to()];
        }
        try {
            if (to == null
                    || sockets[datagram.link().to()][datagram.link().from()].send(
                                    ByteBuffer.wrap(datagram.bytes()), to)
                            == 0) {
                dropped.increment();
            } else {
                delivered.increment();
            }
        } catch (IOException sendFailed) {
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
