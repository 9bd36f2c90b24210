package passhatch.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The membership state machine of one process. It is given the time and the datagrams received,
 * sends through {@link FleetActions} and says when to wake it. It is single-threaded and never
 * blocks. After each call, {@link #wakeAtUs} is the time at which {@link #timer} must be called
 * next. The caller passes in all datagrams that wait at its socket before it calls the timer.
 *
 * <p>Failure detection follows SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health
 * (Dadgar, Phillips, Currey, 2017), and anti-entropy reconciles the views. {@code
 * docs/membership.md} describes what each view may say at which time.
 */
public final class Membership {

    /** Heap that the membership of a proxy may use: a quarter of the memory allotted to control. */
    private static final int MAX_HEAP_BYTES = 32 << 20;

    /**
     * Most bytes of heap that one member takes while updates about it are still queued. Removed
     * members, whose last update is kept, take as much again at worst.
     */
    private static final int BYTES_PER_MEMBER = 512;

    /** Most members that one process tracks; updates about further members are ignored. */
    public static final int MAX_MEMBERS = MAX_HEAP_BYTES / (2 * BYTES_PER_MEMBER);

    /** Intervals in probe periods. */
    private static final double GOSSIP_INTERVAL_PERIODS = 0.4;

    private static final double SYNC_INTERVAL_PERIODS = 4;
    private static final double SMALL_FLEET_PROBE_INTERVAL_PERIODS = 0.2;
    private static final double MIN_STALL_PERIODS = 0.5;

    /**
     * Members that gossip is sent to at a time. More updates than fit into one datagram raise the
     * number, up to the maximum and within the rate limit.
     */
    private static final int GOSSIP_FANOUT = 3;

    private static final int MAX_GOSSIP_FANOUT = 6;
    private static final int UPDATES_PER_DATAGRAM = 8;

    /** Members that a leaving process notifies at once. */
    private static final int LEAVE_FANOUT = 8;

    /**
     * With at most this many members present, the process probes more often in order to find
     * others.
     */
    private static final int SMALL_FLEET_SIZE = 4;

    private static final long REMOVAL_INTERVAL_US = 10_000_000;

    private final FleetActions actions;
    private final RandomGenerator random;
    private final LocalMember self;
    private final View view;
    private final LocalHealth health = new LocalHealth();
    private final Outbox outbox;
    private final MemberStates memberStates;
    private final Probes probes;
    private final AntiEntropy antiEntropy;
    private FleetSettings settings;
    private long nowUs;

    /** Total time by which the caller's clock has gone back. */
    private long clockSetbackUs;

    private long wakeAtUs;
    private long probeAtUs;
    private long gossipAtUs;
    private long syncAtUs;
    private long removeAtUs;
    private long received;
    private long stalls;

    /**
     * Starts the membership of this process.
     *
     * @param epoch durable, and greater than that of any earlier run unless the disk lost it
     * @param random seeded by the caller; the only source of randomness
     */
    public Membership(
            FleetSettings settings,
            long nowUs,
            long epoch,
            RandomGenerator random,
            FleetActions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.nowUs = nowUs;
        this.self = new LocalMember(settings, epoch, random.nextInt());
        this.view = new View(settings.addressCount());
        this.outbox = new Outbox(settings, self::currentUpdate, view, actions);
        outbox.setTime(nowUs);
        this.memberStates =
                new MemberStates(
                        settings,
                        self,
                        view,
                        outbox,
                        health,
                        actions,
                        suspect -> probes().onSuspicion(this.nowUs, suspect));
        this.probes = new Probes(settings, self, view, outbox, memberStates, health, random);
        this.antiEntropy = new AntiEntropy(view, outbox, random);
        Member own = view.add(self.currentUpdate(), nowUs);
        outbox.gossipQueue().add(own.lastUpdate());
        actions.memberChanged(null, own.info());
        // Spreads the first probes of processes that start at the same moment.
        probeAtUs = nowUs + random.nextLong(periodsUs(1));
        gossipAtUs = probeAtUs;
        syncAtUs = nowUs + random.nextLong(periodsUs(SYNC_INTERVAL_PERIODS));
        removeAtUs = nowUs + REMOVAL_INTERVAL_US;
        wakeAtUs = nextWakeUs();
    }

    /**
     * Builds the view of a process that knows exactly these members, each as it describes itself.
     * It is a common start for views that agree, which share their state until they change.
     */
    public static Snapshot snapshot(Collection<Membership> members, int addressCount) {
        View view = new View(addressCount);
        members.forEach(m -> view.add(m.self.currentUpdate(), m.nowUs));
        return new Snapshot(view);
    }

    /** A view to start from; see {@link Membership#snapshot}. */
    public static final class Snapshot {
        private final View view;

        private Snapshot(View view) {
            this.view = view;
        }
    }

    /** Takes over the view of a snapshot that includes this process; none of it is gossiped. */
    public void adopt(Snapshot snapshot) {
        view.adopt(snapshot.view);
        outbox.gossipQueue().clear();
        wakeAtUs = nextWakeUs();
    }

    /**
     * Returns the probes, which the suspicion listener needs before the constructor has set them.
     */
    private Probes probes() {
        return probes;
    }

    private long periodsUs(double count) {
        return (long) (count * settings.probePeriodUs());
    }

    /** When {@link #timer} must be called next, on the caller's clock. */
    public long wakeAtUs() {
        return wakeAtUs - clockSetbackUs;
    }

    /** Handles a datagram received from the address at this index of the address list. */
    public void receive(long callerNowUs, int addressIndex, byte[] bytes) {
        advanceTime(callerNowUs);
        try {
            handle(addressIndex, outbox.codec().decode(bytes));
        } catch (Codec.RejectedException rejected) {
            outbox.countDropped(rejected.reason());
        }
        wakeAtUs = nextWakeUs();
    }

    /** Counts a datagram that the caller dropped for this reason. */
    public void countDropped(DropReason reason) {
        outbox.countDropped(reason);
    }

    private void handle(int addressIndex, Message message) {
        MemberUpdate sender = message.sender();
        boolean sameName = sender.name().equals(self.name());
        if (sameName && sender.incarnation().isSameRun(self.incarnation())) {
            outbox.countDropped(DropReason.ECHO);
            return;
        }
        received++;
        memberStates.apply(nowUs, sender);
        if (sameName && !self.superseded()) {
            memberStates.onNameConflict(nowUs, sender, addressIndex);
        }
        Member member = view.get(sender.name());
        boolean current =
                !sameName
                        && member != null
                        && member.lastUpdate().incarnation().equals(sender.incarnation());
        if (current) {
            view.confirmAddress(member, addressIndex);
        }
        message.updates().forEach(update -> memberStates.apply(nowUs, update));
        switch (message.type()) {
            case PING ->
                    outbox.sendEssential(
                            addressIndex,
                            Message.Type.ACK,
                            message.sequenceNumber(),
                            "",
                            correctionFor(sender));
            case ACK -> probes.onAck(addressIndex, message, current);
            case NACK -> probes.onNack(message);
            case PING_REQUEST -> probes.onPingRequest(nowUs, addressIndex, message);
            case SYNC -> antiEntropy.onDigests(addressIndex, message.node(), message.digests());
            case LEAF -> antiEntropy.onLeaf(addressIndex, message.node(), message.updates());
            case GOSSIP, LEAF_ANSWER -> {}
        }
    }

    /**
     * Returns the update that corrects a sender's view of itself, if it is not known as alive or a
     * newer process has its name.
     */
    private List<MemberUpdate> correctionFor(MemberUpdate sender) {
        Member member = view.get(sender.name());
        MemberUpdate known =
                member == null ? view.lastUpdateOfRemoved(sender.name()) : member.lastUpdate();
        return known == null
                        || known.status() == sender.status()
                                && known.incarnation().equals(sender.incarnation())
                ? List.of()
                : List.of(known);
    }

    /** Does what is due; to be called at {@link #wakeAtUs}. */
    public void timer(long callerNowUs) {
        advanceTime(callerNowUs);
        memberStates.expireSuspicions(nowUs);
        probes.runDueActions(nowUs);
        if (nowUs >= probeAtUs && !self.leaving()) {
            probes.startNextProbe(nowUs);
            boolean smallFleet =
                    view.presentCount() <= Math.min(SMALL_FLEET_SIZE, settings.addressCount() - 1);
            probeAtUs =
                    nowUs
                            + periodsUs(
                                    smallFleet
                                            ? SMALL_FLEET_PROBE_INTERVAL_PERIODS
                                            : health.timeoutMultiplier());
        }
        if (nowUs >= gossipAtUs) {
            int queued = outbox.gossipQueue().size();
            if (queued > 0) {
                int fanout =
                        Math.min(MAX_GOSSIP_FANOUT, GOSSIP_FANOUT + queued / UPDATES_PER_DATAGRAM);
                probes.pickRandom(fanout, "").forEach(m -> outbox.sendGossip(m.addressIndex()));
            }
            gossipAtUs = nowUs + periodsUs(GOSSIP_INTERVAL_PERIODS);
        }
        if (nowUs >= syncAtUs && !self.leaving()) {
            List<Member> peers = probes.pickRandom(1, "");
            boolean again = peers.isEmpty() || antiEntropy.startComparison(peers.get(0));
            syncAtUs = nowUs + periodsUs(again ? GOSSIP_INTERVAL_PERIODS : SYNC_INTERVAL_PERIODS);
        }
        if (nowUs >= removeAtUs) {
            memberStates.removeAbsent(nowUs, settings.forgetAfterUs());
            removeAtUs = nowUs + REMOVAL_INTERVAL_US;
        }
        wakeAtUs = nextWakeUs();
    }

    /**
     * Advances the time. If the caller's clock has gone back, time continues from where it was. If
     * this process was stalled, replies had no chance to be received in time, so running probes are
     * abandoned and suspicions extended.
     */
    private void advanceTime(long callerNowUs) {
        clockSetbackUs = Math.max(clockSetbackUs, nowUs - callerNowUs);
        nowUs = callerNowUs + clockSetbackUs;
        outbox.setTime(nowUs);
        long lateUs = nowUs - wakeAtUs;
        if (lateUs > periodsUs(MIN_STALL_PERIODS)) {
            stalls++;
            health.degrade(1);
            probes.onStall();
            memberStates.onStall(lateUs);
            wakeAtUs = nowUs;
        }
    }

    private long nextWakeUs() {
        long wakeUs = Math.min(memberStates.nextExpiryCheckUs(), probes.nextActionAtUs());
        if (!self.leaving()) {
            wakeUs = Math.min(wakeUs, Math.min(probeAtUs, syncAtUs));
        }
        if (outbox.gossipQueue().size() > 0) {
            wakeUs = Math.min(wakeUs, gossipAtUs);
        }
        return Math.max(nowUs, Math.min(wakeUs, removeAtUs));
    }

    /**
     * Announces that this process leaves. The caller keeps it running for about a second so that
     * the other members receive the announcement.
     */
    public void leave(long callerNowUs) {
        advanceTime(callerNowUs);
        self.leave();
        if (!self.superseded()) {
            view.change(view.get(self.name()), self.currentUpdate(), nowUs);
            outbox.gossipQueue().add(self.currentUpdate());
            probes.pickRandom(LEAVE_FANOUT, "").forEach(m -> outbox.sendGossip(m.addressIndex()));
        }
        wakeAtUs = nextWakeUs();
    }

    /**
     * Switches to a new address list.
     *
     * @param newIndexes for each index of the old list the index in the new list, or -1 if the
     *     address was removed
     * @param ownAddressIndex index of this process's own address in the new list, or -1
     * @param addressCount length of the new list
     */
    public void updateAddresses(
            long callerNowUs, int[] newIndexes, int ownAddressIndex, int addressCount) {
        advanceTime(callerNowUs);
        settings = settings.withAddresses(ownAddressIndex, addressCount);
        self.addressIndex(ownAddressIndex);
        view.remap(newIndexes, addressCount);
        probes.onAddressesChanged(ownAddressIndex);
        probeAtUs = nowUs;
        wakeAtUs = nextWakeUs();
    }

    /** The name of this process. */
    public String name() {
        return self.name();
    }

    /** The current incarnation of this process. */
    public Incarnation incarnation() {
        return self.incarnation();
    }

    /**
     * Whether another, newer process has this one's name; this process then does not participate.
     */
    public boolean superseded() {
        return self.superseded();
    }

    /** The index of a member in the address list, or -1 if it is not known. */
    public int addressIndex(String member) {
        Member known = view.get(member);
        return known == null ? -1 : known.addressIndex();
    }

    /** How long a member has had its status, in microseconds. */
    public long statusAgeUs(MemberInfo member) {
        return nowUs - member.statusSinceUs();
    }

    /** All known members in the order of their names, including this process. */
    public List<MemberInfo> members() {
        return view.all().map(Member::info).sorted(Comparator.comparing(MemberInfo::name)).toList();
    }

    /** The number of members that are alive or suspect, including this process. */
    public int presentCount() {
        return view.presentCount();
    }

    /** Whether exactly these members are alive or suspect. */
    public boolean hasExactlyPresent(Set<String> names) {
        return view.presentCount() == names.size()
                && names.stream().map(view::get).allMatch(m -> m != null && m.status().present());
    }

    /** A digest of the view without suspicions; processes with equal digests have equal views. */
    public int digest() {
        return view.digests().rootDigest();
    }

    /**
     * Counters since the start.
     *
     * @param localHealth 0 (healthy) to 8; the higher, the less this process trusts its own probes
     * @param stalls how often a timer ran so late that the pending probes were abandoned
     * @param received datagrams accepted
     * @param sent datagrams sent
     * @param sentBytes bytes of the datagrams sent
     * @param dropped datagrams dropped on receipt or not sent, by reason
     */
    public record Metrics(
            int localHealth,
            long stalls,
            long received,
            long sent,
            long sentBytes,
            Map<DropReason, Long> dropped) {}

    /** Returns the current counters. */
    public Metrics metrics() {
        return new Metrics(
                health.score(),
                stalls,
                received,
                outbox.sentDatagrams(),
                outbox.sentBytes(),
                new TreeMap<>(outbox.dropCounts()));
    }
}
