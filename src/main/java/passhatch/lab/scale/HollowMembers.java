package passhatch.lab.scale;

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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import passhatch.fleet.FleetActions;
import passhatch.fleet.FleetSettings;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Membership;
import passhatch.fleet.Status;
import passhatch.lab.Seeds;

/**
 * Members of a fleet that share this process and one thread: each has its own socket and the
 * program's own state machine, and no store, control address or duties.
 */
final class HollowMembers implements Closeable {

    /** As the agent has it where its configuration does not say. */
    private static final long PERIOD_US = 500_000;

    private static final long BYTES_PER_SECOND = 16_384;
    private static final long FORGET_AFTER_US = TimeUnit.HOURS.toMicros(1);
    private static final int RECEIVE_BYTES = 512;
    private static final long LONGEST_WAIT_MS = 10;

    private final Selector selector = Selector.open();
    private final List<Node> nodes = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "hollow-members");
    private Map<InetSocketAddress, Integer> places;
    private List<InetSocketAddress> members;

    /** Opens the sockets; the members are silent until {@link #start}. */
    HollowMembers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            DatagramChannel socket = DatagramChannel.open();
            Node node = new Node(socket);
            nodes.add(node);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            socket.configureBlocking(false);
            socket.register(selector, SelectionKey.OP_READ, node);
        }
    }

    /** Where they receive. */
    List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Node node : nodes) {
            addresses.add((InetSocketAddress) node.socket.getLocalAddress());
        }
        return addresses;
    }

    /** Has them take part in the fleet. */
    void start(String fleet, List<InetSocketAddress> all, Seeds seeds) throws IOException {
        members = List.copyOf(all);
        places = new HashMap<>();
        members.forEach(member -> places.put(member, places.size()));
        for (int i = 0; i < nodes.size(); i++) {
            nodes.get(i).join(fleet, "hollow-" + i, seeds);
        }
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(RECEIVE_BYTES);
        try {
            while (selector.isOpen()) {
                selector.select(key -> ((Node) key.attachment()).receive(buffer), LONGEST_WAIT_MS);
                for (Node node : nodes) {
                    node.wake();
                }
            }
        } catch (IOException | ClosedSelectorException over) {
            // It was closed.
        }
    }

    private static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (Node node : nodes) {
            node.socket.close();
        }
    }

    private final class Node implements FleetActions {
        private final DatagramChannel socket;
        private Membership membership;

        Node(DatagramChannel socket) {
            this.socket = socket;
        }

        void join(String fleet, String name, Seeds seeds) throws IOException {
            FleetSettings settings =
                    new FleetSettings(
                            fleet,
                            name,
                            "hollow",
                            "proxy",
                            places.get((InetSocketAddress) socket.getLocalAddress()),
                            members.size(),
                            PERIOD_US,
                            BYTES_PER_SECOND,
                            FORGET_AFTER_US);
            SplittableRandom random = new SplittableRandom(seeds.stream(name).nextLong());
            membership = new Membership(settings, nowUs(), 1, random, this);
        }

        void receive(ByteBuffer buffer) {
            try {
                buffer.clear();
                InetSocketAddress from = (InetSocketAddress) socket.receive(buffer);
                Integer place = from == null ? null : places.get(from);
                if (place != null) {
                    byte[] bytes = Arrays.copyOf(buffer.array(), buffer.position());
                    membership.receive(nowUs(), place, bytes);
                }
            } catch (IOException lost) {
                // An error of one datagram's way is a datagram lost.
            }
        }

        void wake() {
            if (membership.wakeAtUs() <= nowUs()) {
                membership.timer(nowUs());
            }
        }

        @Override
        public void send(int address, byte[] datagram) {
            try {
                socket.send(ByteBuffer.wrap(datagram), members.get(address));
            } catch (IOException lost) {
                // As above.
            }
        }

        @Override
        public boolean persistEpoch(long epoch) {
            return true;
        }

        @Override
        public void memberChanged(Status before, MemberInfo after) {
            // Nobody asks a hollow member.
        }

        @Override
        public void warn(String text) {
            // Nobody reads its log.
        }
    }
}
