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
 * Members of a fleet that all run on one thread of this process. Each member has its own socket and
 * a {@link Membership}, but no store, control address or duties.
 */
final class InProcessMembers implements Closeable {

    /** Probe period of the members, equal to the default in the agent's configuration. */
    private static final long PROBE_PERIOD_US = 500_000;

    private static final long BYTES_PER_SECOND = 16_384;
    private static final long FORGET_AFTER_US = TimeUnit.HOURS.toMicros(1);
    private static final int RECEIVE_BUFFER_BYTES = 512;
    private static final long MAX_SELECT_WAIT_MS = 10;

    private final Selector selector = Selector.open();
    private final List<Member> members = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "hollow-members");
    private Map<InetSocketAddress, Integer> addressIndexes;
    private List<InetSocketAddress> fleetAddresses;

    /** Opens the sockets; the members send nothing until {@link #start}. */
    InProcessMembers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            DatagramChannel socket = DatagramChannel.open();
            Member member = new Member(socket);
            members.add(member);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            socket.configureBlocking(false);
            socket.register(selector, SelectionKey.OP_READ, member);
        }
    }

    /** Returns the addresses on which the members receive. */
    List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Member member : members) {
            addresses.add((InetSocketAddress) member.socket.getLocalAddress());
        }
        return addresses;
    }

    /** Lets the members join the fleet. */
    void start(String fleet, List<InetSocketAddress> allAddresses, Seeds seeds) throws IOException {
        fleetAddresses = List.copyOf(allAddresses);
        addressIndexes = new HashMap<>();
        fleetAddresses.forEach(address -> addressIndexes.put(address, addressIndexes.size()));
        for (int i = 0; i < members.size(); i++) {
            members.get(i).join(fleet, "hollow-" + i, seeds);
        }
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(RECEIVE_BUFFER_BYTES);
        try {
            while (selector.isOpen()) {
                selector.select(
                        key -> ((Member) key.attachment()).receive(buffer), MAX_SELECT_WAIT_MS);
                for (Member member : members) {
                    member.runDueTimer();
                }
            }
        } catch (IOException | ClosedSelectorException closed) {
            // The selector was closed by close(), so the thread ends.
        }
    }

    private static long nowUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (Member member : members) {
            member.socket.close();
        }
    }

    private final class Member implements FleetActions {
        private final DatagramChannel socket;
        private Membership membership;

        Member(DatagramChannel socket) {
            this.socket = socket;
        }

        void join(String fleet, String name, Seeds seeds) throws IOException {
            FleetSettings settings =
                    new FleetSettings(
                            fleet,
                            name,
                            "hollow",
                            "proxy",
                            addressIndexes.get((InetSocketAddress) socket.getLocalAddress()),
                            fleetAddresses.size(),
                            PROBE_PERIOD_US,
                            BYTES_PER_SECOND,
                            FORGET_AFTER_US);
            SplittableRandom random = new SplittableRandom(seeds.stream(name).nextLong());
            membership = new Membership(settings, nowUs(), 1, random, this);
        }

        void receive(ByteBuffer buffer) {
            try {
                buffer.clear();
                InetSocketAddress from = (InetSocketAddress) socket.receive(buffer);
                Integer addressIndex = from == null ? null : addressIndexes.get(from);
                if (addressIndex != null) {
                    byte[] datagram = Arrays.copyOf(buffer.array(), buffer.position());
                    membership.receive(nowUs(), addressIndex, datagram);
                }
            } catch (IOException lost) {
                // A datagram that cannot be received counts as lost.
            }
        }

        void runDueTimer() {
            if (membership.wakeAtUs() <= nowUs()) {
                membership.timer(nowUs());
            }
        }

        @Override
        public void send(int address, byte[] datagram) {
            try {
                socket.send(ByteBuffer.wrap(datagram), fleetAddresses.get(address));
            } catch (IOException lost) {
                // A datagram that cannot be sent counts as lost.
            }
        }

        @Override
        public boolean persistEpoch(long epoch) {
            return true;
        }

        @Override
        public void memberChanged(Status before, MemberInfo after) {
            // These members have no control address to report changes on.
        }

        @Override
        public void warn(String text) {
            // These members have no log.
        }
    }
}
