package passhatch.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The membership state machine of one process. The caller passes in the time and the datagrams
 * received; the state machine sends datagrams through {@link FleetActions}. The state machine is
 * single-threaded and never blocks. After each call, {@link #wakeAtUs} returns the time at which
 * {@link #timer} must be called next. Before the caller calls the timer, it passes in all datagrams
 * that are queued at its socket.
 *
 * <p>Failure detection follows SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health
 * (Dadgar, Phillips, Currey, 2017), and anti-entropy reconciles the views. {@code
 * docs/membership.md} describes what each view may say at which time.
 */
public final class Membership {

    /**
     * Maximum heap that the membership of a proxy may use, in bytes: a quarter of the memory
     * allotted to control.
     */
    private static final int MAX_HEAP_BYTES = 32 << 20;

    /**
     * Maximum heap that one member takes, in bytes, including the queued updates about it. In the
     * worst case, the last updates about as many removed members are kept as well, which take the
     * same amount again.
     */
    private static final int BYTES_PER_MEMBER = 512;

    /**
     * Maximum number of members that one process tracks; updates about further members are ignored.
     */
    public static final int MAX_MEMBERS = MAX_HEAP_BYTES / (2 * BYTES_PER_MEMBER);

    /** Interval between two rounds of gossip, in probe periods. */
    private static final double GOSSIP_INTERVAL_PERIODS = 0.4;

    /**
     * Interval between two comparisons of this process's view with that of another member, in probe
     * periods.
     */
    private static final double SYNC_INTERVAL_PERIODS = 4;

    /** Interval between two probes in a small fleet, in probe periods. */
    private static final double SMALL_FLEET_PROBE_INTERVAL_PERIODS = 0.2;

    /**
     * Delay of a timer, in probe periods, above which the delay counts as a stall of this process.
     */
    private static final double MIN_STALL_PERIODS = 0.5;

    /**
     * Number of members that gossip is sent to in one round. If more updates are queued than fit
     * into one datagram, the number is higher, up to {@link #MAX_GOSSIP_FANOUT} and within the rate
     * limit.
     */
    private static final int GOSSIP_FANOUT = 3;

    private static final int MAX_GOSSIP_FANOUT = 6;
    private static final int UPDATES_PER_DATAGRAM = 8;

    /** Number of members that a leaving process notifies immediately. */
    private static final int LEAVE_FANOUT = 8;

    /**
     * If at most this many members are present, the process probes more often in order to find
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

    /** Total time by which the caller's clock has been set back. */
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
     * @param epoch epoch of this run, which is already durable; greater than the epoch of any
     *     earlier run unless the disk lost that epoch
     * @param random the only source of randomness, seeded by the caller
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
        // Starts the first probe after a random delay, so that processes that start together do not
        // probe together.
        probeAtUs = nowUs + random.nextLong(periodsUs(1));
        gossipAtUs = probeAtUs;
        syncAtUs = nowUs + random.nextLong(periodsUs(SYNC_INTERVAL_PERIODS));
        removeAtUs = nowUs + REMOVAL_INTERVAL_US;
        wakeAtUs = nextWakeUs();
    }

    /**
     * Builds a view that contains exactly the given members, each with the state that it announces
     * about itself. Several processes can start from this view. Their views share memory until they
     * change.
     */
    public static Snapshot snapshot(Collection<Membership> members, int addressCount) {
        View view = new View(addressCount);
        members.forEach(m -> view.add(m.self.currentUpdate(), m.nowUs));
        return new Snapshot(view);
    }

    /** A view that several processes can start from; see {@link Membership#snapshot}. */
    public static final class Snapshot {
        private final View view;

        private Snapshot(View view) {
            this.view = view;
        }
    }

    /**
     * Replaces the view with that of a snapshot, which must include this process. The content of
     * the snapshot is not gossiped.
     */
    public void adopt(Snapshot snapshot) {
        view.adopt(snapshot.view);
        outbox.gossipQueue().clear();
        wakeAtUs = nextWakeUs();
    }

    /**
     * Returns the probes. The suspicion listener calls this method because the field is not yet set
     * when the constructor creates the listener.
     */
    private Probes probes() {
        return probes;
    }

    private long periodsUs(double count) {
        return (long) (count * settings.probePeriodUs());
    }

    /** Returns the time at which {@link #timer} must be called next, on the caller's clock. */
    public long wakeAtUs() {
        return wakeAtUs - clockSetbackUs;
    }

    /** Handles a datagram that was received from the address at an index of the address list. */
    public void receive(long callerNowUs, int addressIndex, byte[] bytes) {
        advanceTime(callerNowUs);
        try {
            handle(addressIndex, outbox.codec().decode(bytes));
        } catch (Codec.RejectedException rejected) {
            outbox.countDropped(rejected.reason());
        }
        wakeAtUs = nextWakeUs();
    }

    /** Counts a datagram that the caller dropped. */
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
     * Returns the update that this process has about a sender, so that the sender can refute it.
     * Returns an empty list if that update agrees with what the sender says about itself, or if
     * there is no such update.
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

    /**
     * Runs all actions that are due, such as probes and gossip. Must be called at {@link
     * #wakeAtUs}.
     */
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
            boolean soon = peers.isEmpty() || antiEntropy.startComparison(peers.get(0));
            syncAtUs = nowUs + periodsUs(soon ? GOSSIP_INTERVAL_PERIODS : SYNC_INTERVAL_PERIODS);
        }
        if (nowUs >= removeAtUs) {
            memberStates.removeAbsent(nowUs, settings.forgetAfterUs());
            removeAtUs = nowUs + REMOVAL_INTERVAL_US;
        }
        wakeAtUs = nextWakeUs();
    }

    /**
     * Advances the time. If the caller's clock was set back, time continues from the latest value.
     * If this process was stalled, it could not receive replies in time, so running probes are
     * abandoned and suspicions are extended.
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
     * Announces that this process leaves. The caller must keep the process running for about a
     * second so that the other members receive the announcement.
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
     * @param newIndexes the index in the new list for each index of the old list, or -1 if the
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

    /** Returns the name of this process. */
    public String name() {
        return self.name();
    }

    /** Returns the current incarnation of this process. */
    public Incarnation incarnation() {
        return self.incarnation();
    }

    /**
     * Returns whether a newer process uses this process's name. If so, this process does not
     * participate in the fleet.
     */
    public boolean superseded() {
        return self.superseded();
    }

    /**
     * Returns the index of a member in the address list, or -1 if the member or its address is not
     * known.
     */
    public int addressIndex(String member) {
        Member known = view.get(member);
        return known == null ? -1 : known.addressIndex();
    }

    /** Returns how long a member has had its status, in microseconds. */
    public long statusAgeUs(MemberInfo member) {
        return nowUs - member.statusSinceUs();
    }

    /** Returns all known members, including this process, sorted by name. */
    public List<MemberInfo> members() {
        return view.all().map(Member::info).sorted(Comparator.comparing(MemberInfo::name)).toList();
    }

    /** Returns the number of members that are alive or suspect, including this process. */
    public int presentCount() {
        return view.presentCount();
    }

    /**
     * Returns whether the members that are alive or suspect are exactly those with the given names.
     */
    public boolean hasExactlyPresent(Set<String> names) {
        return view.presentCount() == names.size()
                && names.stream().map(view::get).allMatch(m -> m != null && m.status().present());
    }

    /**
     * Returns a digest of the view that ignores suspicions. Processes with equal digests have equal
     * views, apart from suspicions.
     */
    public int digest() {
        return view.digests().rootDigest();
    }

    /**
     * Counters of this process since its start, and its health score.
     *
     * @param localHealth health score from 0 (healthy) to 8; with a higher score, this process
     *     relies less on its own probes
     * @param stalls number of times that this process was stalled; each time, its running probes
     *     were abandoned
     * @param received number of datagrams accepted
     * @param sent number of datagrams sent
     * @param sentBytes total size of the datagrams sent
     * @param dropped number of datagrams dropped on receipt or not sent, by reason
     */
    public record Metrics(
            int localHealth,
            long stalls,
            long received,
            long sent,
            long sentBytes,
            Map<DropReason, Long> dropped) {}

    /** Returns the current values of the counters and the health score. */
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
