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
 * Simulates the network between the program's processes. For each process, the relay has a separate
 * set of addresses, each of which stands for one of the processes. A datagram sent to such an
 * address is delivered to the process that the address stands for. The receiver sees it coming from
 * the relay address that stands for the sender. Datagrams may be delayed, duplicated, reordered,
 * truncated or lost.
 *
 * <p>One thread carries all datagrams. A datagram larger than the platform's maximum of 256 bytes
 * is counted but not delivered.
 */
public final class UdpRelay implements Closeable {

    /** Maximum size of a datagram on the platform, in bytes. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    /**
     * Delays and faults of the network. Rates are from 0 to 1 and apply to each datagram
     * independently.
     *
     * @param lossRate fraction of datagrams that never arrive
     * @param duplicateRate fraction of datagrams that arrive twice
     * @param truncateRate fraction of datagrams of which only the first half arrives
     * @param reorderRate fraction of datagrams that later ones overtake: such a datagram is delayed
     *     by ten times the usual delay plus 20 ms
     * @param delayUs delay of all datagrams, in microseconds
     * @param jitterUs maximum of a further random delay with a uniform distribution, in
     *     microseconds
     */
    public record NetworkConditions(
            double lossRate,
            double duplicateRate,
            double truncateRate,
            double reorderRate,
            long delayUs,
            long jitterUs) {
        /** No faults and no delay. */
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
     * Opens a socket for each ordered pair of members. {@link #setListenAddress} sets the address
     * at which a member receives.
     *
     * @throws IOException if there are not enough file descriptors or ports
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

    /** Sets the address at which a member receives. */
    public synchronized void setListenAddress(int member, InetSocketAddress address) {
        listenAddresses[member] = address;
    }

    /**
     * Returns the relay addresses that the given member uses to reach the members, in order of
     * member number. The list includes an address for the given member itself.
     */
    public List<InetSocketAddress> relayAddressesOf(int member) throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (int to = 0; to < members; to++) {
            peers.add((InetSocketAddress) sockets[member][to].getLocalAddress());
        }
        return peers;
    }

    /** Sets the network conditions for later datagrams. */
    public void setConditions(NetworkConditions newConditions) {
        conditions.set(newConditions);
    }

    /**
     * Sets which members can send to which others. The predicate gets the sender first, then the
     * receiver.
     */
    public void setConnectivity(BiPredicate<Integer, Integer> newConnectivity) {
        connectivity.set(newConnectivity);
    }

    /** Returns the number of datagrams delivered; a duplicated one counts twice. */
    public long delivered() {
        return delivered.sum();
    }

    /**
     * Returns the number of datagrams lost because of a fault or because their receiver is missing.
     */
    public long dropped() {
        return dropped.sum();
    }

    /** Returns the number of datagrams that exceeded the platform's maximum size. */
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
            // The relay was closed.
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
            // An error of one socket, for instance because a receiver is missing, counts as a lost
            // datagram.
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

    /**
     * Sends a datagram from the address that stands for the sender, so that the receiver can
     * identify the sender.
     */
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
