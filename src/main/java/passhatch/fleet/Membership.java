package passhatch.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Membership of one process: told the time and what arrived, it says what to send and when to wake
 * it. For one thread; it never blocks. After each call {@link #wakeAtUs} is when {@link #timer} has
 * to be called next. Whoever drives it hands over datagrams that wait before it calls the timer.
 *
 * <p>Failure detection in the manner of SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local
 * health (Dadgar, Phillips, Currey, 2017), and anti-entropy. What each view says when is in {@code
 * docs/membership.md}.
 */
public final class Membership {

    /** Bytes of the heap that a proxy's membership may hold: a quarter of what control has. */
    private static final int MAX_HEAP_BYTES = 32 << 20;

    /**
     * Bytes that one member takes at most, as {@code scale membership} measured it: with the news
     * of it still to be told. Those that are shown no more take as much again at worst.
     */
    private static final int BYTES_PER_MEMBER = 512;

    /** Members that one process knows at most; what is told of further ones is not taken. */
    public static final int MAX_MEMBERS = MAX_HEAP_BYTES / (2 * BYTES_PER_MEMBER);

    /** Times as shares of a period. */
    private static final double GOSSIP_INTERVAL_PERIODS = 0.4;

    private static final double SYNC_INTERVAL_PERIODS = 4;
    private static final double SMALL_FLEET_PROBE_INTERVAL_PERIODS = 0.2;
    private static final double LATE_TIMER_PERIODS = 0.5;

    /**
     * Members that news goes to at a time; to more where there is more than fits, within the
     * budget.
     */
    private static final int GOSSIP_FANOUT = 3;

    private static final int MAX_GOSSIP_FANOUT = 6;
    private static final int UPDATES_PER_DATAGRAM = 8;

    /** Members that hear at once that this one goes. */
    private static final int LEAVE_FANOUT = 8;

    /** While it knows fewer others it looks for them more often. */
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

    /** What the caller's clock has gone back by, in all. */
    private long clockSetbackUs;

    private long wakeAtUs;
    private long probeAtUs;
    private long gossipAtUs;
    private long syncAtUs;
    private long removeAtUs;
    private long received;
    private long stalls;

    /**
     * Takes part from now on.
     *
     * @param epoch durable, and greater than in any earlier run where the disk kept it
     * @param random seeded by the caller; all that is drawn comes from it
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
        // Not all at the same moment, where all start at the same moment.
        probeAtUs = nowUs + random.nextLong(periodsUs(1));
        gossipAtUs = probeAtUs;
        syncAtUs = nowUs + random.nextLong(periodsUs(SYNC_INTERVAL_PERIODS));
        removeAtUs = nowUs + REMOVAL_INTERVAL_US;
        wakeAtUs = nextWakeUs();
    }

    /**
     * What a process knows that knows just these, each as it speaks of itself: a start for views
     * that agree from the beginning, which then share their state until they change.
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

    /** Takes what is known from a snapshot that has this process; nothing of it is news. */
    public void adopt(Snapshot snapshot) {
        view.adopt(snapshot.view);
        outbox.gossipQueue().clear();
        wakeAtUs = nextWakeUs();
    }

    /** For the rumours, which come only once all is put together. */
    private Probes probes() {
        return probes;
    }

    private long periodsUs(double count) {
        return (long) (count * settings.probePeriodUs());
    }

    /** When {@link #timer} has to be called next, on the clock whose times are passed in. */
    public long wakeAtUs() {
        return wakeAtUs - clockSetbackUs;
    }

    /** A datagram has arrived from the address at this place of the list. */
    public void receive(long callerNowUs, int addressIndex, byte[] bytes) {
        advanceTime(callerNowUs);
        try {
            handle(addressIndex, outbox.codec().decode(bytes));
        } catch (Codec.RejectedException rejected) {
            outbox.countDropped(rejected.reason());
        }
        wakeAtUs = nextWakeUs();
    }

    /** A datagram was not handed in, for this reason. */
    public void countDropped(DropReason reason) {
        outbox.countDropped(reason);
    }

    private void handle(int addressIndex, Message message) {
        MemberUpdate sender = message.sender();
        boolean sameName = sender.name().equals(self.name());
        if (sameName && sender.incarnation().sameRun(self.incarnation())) {
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
     * What a sender has to hear: that it is thought to be gone, or that a newer process has its
     * name.
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

    /** The time of {@link #wakeAtUs} has come. */
    public void timer(long callerNowUs) {
        advanceTime(callerNowUs);
        memberStates.expire(nowUs);
        probes.runDue(nowUs);
        if (nowUs >= probeAtUs && !self.leaving()) {
            probes.startNext(nowUs);
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
            boolean again = peers.isEmpty() || antiEntropy.start(peers.get(0));
            syncAtUs = nowUs + periodsUs(again ? GOSSIP_INTERVAL_PERIODS : SYNC_INTERVAL_PERIODS);
        }
        if (nowUs >= removeAtUs) {
            memberStates.removeAbsent(nowUs, settings.forgetAfterUs());
            removeAtUs = nowUs + REMOVAL_INTERVAL_US;
        }
        wakeAtUs = nextWakeUs();
    }

    /**
     * Takes the time. Where the caller's clock went back, time goes on from where it was; where
     * this process was held up, what it waited for had no chance to come.
     */
    private void advanceTime(long callerNowUs) {
        clockSetbackUs = Math.max(clockSetbackUs, nowUs - callerNowUs);
        nowUs = callerNowUs + clockSetbackUs;
        outbox.setTime(nowUs);
        long lateUs = nowUs - wakeAtUs;
        if (lateUs > periodsUs(LATE_TIMER_PERIODS)) {
            stalls++;
            health.degrade(1);
            probes.onStall();
            memberStates.onStall(lateUs);
            wakeAtUs = nowUs;
        }
    }

    private long nextWakeUs() {
        long wakeUs = Math.min(memberStates.nextExpiryCheckUs(), probes.nextActionUs());
        if (!self.leaving()) {
            wakeUs = Math.min(wakeUs, Math.min(probeAtUs, syncAtUs));
        }
        if (outbox.gossipQueue().size() > 0) {
            wakeUs = Math.min(wakeUs, gossipAtUs);
        }
        return Math.max(nowUs, Math.min(wakeUs, removeAtUs));
    }

    /**
     * Says that it goes. Whoever drives it goes on for a second or so, so that the others hear of
     * it.
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
     * The list of addresses is another one now.
     *
     * @param newIndexes for each place of the old list the one in the new list, or -1 where it is
     *     gone
     * @param ownAddressIndex place of this process's own in the new list, or -1
     * @param addressCount length of the new list
     */
    public void updateAddresses(
            long callerNowUs, int[] newIndexes, int ownAddressIndex, int addressCount) {
        advanceTime(callerNowUs);
        settings = settings.withAddresses(ownAddressIndex, addressCount);
        self.addressIndex(ownAddressIndex);
        view.remap(newIndexes, addressCount);
        probes.addressesChanged(ownAddressIndex);
        probeAtUs = nowUs;
        wakeAtUs = nextWakeUs();
    }

    /** This process's own name. */
    public String name() {
        return self.name();
    }

    /** This process's own incarnation. */
    public Incarnation incarnation() {
        return self.incarnation();
    }

    /** Whether another, newer process has this one's name: then this one takes no part. */
    public boolean superseded() {
        return self.superseded();
    }

    /** At which place of the list a member is found; -1 where that is not known. */
    public int addressIndex(String member) {
        Member known = view.get(member);
        return known == null ? -1 : known.addressIndex();
    }

    /** How long a member has had its status, in microseconds up to now. */
    public long ageUs(MemberInfo member) {
        return nowUs - member.sinceUs();
    }

    /** All members that are known, this one among them, by name. */
    public List<MemberInfo> members() {
        return view.all().map(Member::info).sorted(Comparator.comparing(MemberInfo::name)).toList();
    }

    /** Members that are present in the view, this one and suspects among them. */
    public int presentCount() {
        return view.presentCount();
    }

    /** Whether just these are present in the view, suspects among them. */
    public boolean hasExactlyPresent(Set<String> names) {
        return view.presentCount() == names.size()
                && names.stream().map(view::get).allMatch(m -> m != null && m.status().present());
    }

    /** A digest of the view but for suspicion: where two processes have the same, they agree. */
    public int digest() {
        return view.digests().root();
    }

    /**
     * Counts since the start.
     *
     * @param localHealth from 0, all is well, to 8: how far this process distrusts itself
     * @param stalls how often a timer came so late that it voided what was being waited for
     * @param received datagrams that were taken
     * @param sent datagrams
     * @param sentBytes bytes of those
     * @param dropped datagrams that were not taken or not sent, by reason
     */
    public record Metrics(
            int localHealth,
            long stalls,
            long received,
            long sent,
            long sentBytes,
            Map<DropReason, Long> dropped) {}

    /** The figures as they are now. */
    public Metrics metrics() {
        return new Metrics(
                health.score(),
                stalls,
                received,
                outbox.sent(),
                outbox.sentBytes(),
                new TreeMap<>(outbox.dropCounts()));
    }
}
