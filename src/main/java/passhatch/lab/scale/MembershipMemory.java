package passhatch.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import passhatch.fleet.FleetActions;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Membership;
import passhatch.fleet.Status;
import passhatch.lab.fleet.FleetSim;

/**
 * Measures the memory of one {@link Membership} as the growth of the used heap. The {@code
 * Membership} learns of each other member from a datagram that the other member has sent, as an
 * agent does.
 */
final class MembershipMemory {

    private static final long START_US = 1_000_000;
    private static final int GC_RUNS = 3;
    private static final int WARM_UP_MEMBERS = 64;
    private static final long WARM_UP_SEED = 1L << 40;

    private MembershipMemory() {}

    /**
     * Returns the number of bytes of heap per member that the {@link Membership} knows. They
     * include the updates that are still queued for gossip.
     */
    static double measureBytesPerMember(int members) {
        // The warm-up run loads the classes, whose memory belongs to no member. It has few members
        // and a different seed. The codec shares the objects of equal updates, so updates that it
        // has decoded in the warm-up would not be counted in the measurement.
        measureHeapGrowthBytes(WARM_UP_MEMBERS, WARM_UP_SEED);
        return (double) measureHeapGrowthBytes(members, 0) / members;
    }

    private static long measureHeapGrowthBytes(int members, long seed) {
        List<byte[]> datagrams = new ArrayList<>();
        for (int i = 1; i < members; i++) {
            datagrams.add(createFirstDatagram(i, members, seed));
        }
        Membership observer = createMembership(0, members, seed, new Recorder());
        long usedBefore = usedHeapBytes();
        for (int i = 1; i < members; i++) {
            observer.receive(START_US, i, datagrams.get(i - 1));
        }
        long growth = usedHeapBytes() - usedBefore;
        if (observer.presentCount() != members) {
            throw new IllegalStateException(
                    "wrong number of members that the observer knows: " + observer.presentCount());
        }
        return growth;
    }

    /** Returns the first datagram that the member with the given number sends. */
    private static byte[] createFirstDatagram(int number, int members, long seed) {
        Recorder recorder = new Recorder();
        Membership sender = createMembership(number, members, seed, recorder);
        while (recorder.last == null) {
            sender.timer(sender.wakeAtUs());
        }
        return recorder.last;
    }

    private static Membership createMembership(
            int number, int members, long seed, FleetActions actions) {
        return new Membership(
                FleetSim.defaultSettings(number, members),
                START_US,
                1,
                new SplittableRandom(seed + number),
                actions);
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Keeps the last datagram that a {@link Membership} sends. */
    private static final class Recorder implements FleetActions {
        private byte[] last;

        @Override
        public void send(int address, byte[] datagram) {
            last = datagram;
        }

        @Override
        public boolean persistEpoch(long epoch) {
            return true;
        }

        @Override
        public void memberChanged(Status before, MemberInfo after) {}

        @Override
        public void warn(String text) {}
    }
}
