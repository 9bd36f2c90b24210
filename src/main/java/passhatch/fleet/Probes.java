package passhatch.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Probes one member after the other, in a new random order each round (SWIM 4.3). A probe pings its
 * member directly, several times because datagrams get lost, and then indirectly through other
 * members. Several probes may run at a time. Only a reply with the probe's own sequence number
 * counts, because other datagrams may be minutes old.
 */
final class Probes {

    /** Interval between two pings of a probe, in probe periods. */
    private static final double RETRY_DELAY_PERIODS = 0.3;

    /**
     * Time from the start of a probe until other members are asked to ping the target, in probe
     * periods.
     */
    private static final double INDIRECT_DELAY_PERIODS = 0.9;

    /** Time from the start of a probe until it times out, in probe periods, at full health. */
    private static final double PROBE_TIMEOUT_PERIODS = 2.4;

    /** Maximum number of members that are asked to ping the target of an indirect probe. */
    private static final int MAX_HELPERS = 4;

    /**
     * Average number of members that probe a suspect themselves because they have received the
     * suspicion of another member.
     */
    private static final double EXPECTED_CONFIRMING_PROBES = 4;

    private static final int MAX_RUNNING_PROBES = 64;
    private static final int MAX_RELAYED_PROBES = 256;
    private static final int MAX_SKIPPED_ADDRESSES = 8;

    private static final class Probe {
        private final String name;
        private final int addressIndex;
        private final long startUs;
        private long nextSendUs;
        private boolean helpersRequested;
        private int helperCount;
        private int nackCount;

        Probe(String name, int addressIndex, long startUs) {
            this.name = name;
            this.addressIndex = addressIndex;
            this.startUs = startUs;
            this.nextSendUs = startUs;
        }
    }

    /** A probe in which this process pings a member on behalf of another process. */
    private static final class RelayedProbe {
        private final int requesterIndex;
        private final int requestSequenceNumber;
        private final String target;
        private final int addressIndex;
        private final long endUs;
        private long nextSendUs;

        RelayedProbe(
                int requesterIndex,
                int requestSequenceNumber,
                Member target,
                long nowUs,
                long endUs) {
            this.requesterIndex = requesterIndex;
            this.requestSequenceNumber = requestSequenceNumber;
            this.target = target.name();
            this.addressIndex = target.addressIndex();
            this.nextSendUs = nowUs;
            this.endUs = endUs;
        }
    }

    private final LocalMember self;
    private final View view;
    private final Outbox outbox;
    private final MemberStates memberStates;
    private final LocalHealth health;
    private final RandomGenerator random;
    private final long periodUs;
    private final Map<Integer, Probe> runningProbes = new HashMap<>();
    private final Map<Integer, RelayedProbe> relayedProbes = new HashMap<>();
    private ProbeOrder probeOrder;
    private int ownAddressIndex;
    private int lastSequenceNumber;

    Probes(
            FleetSettings settings,
            LocalMember self,
            View view,
            Outbox outbox,
            MemberStates memberStates,
            LocalHealth health,
            RandomGenerator random) {
        this.self = self;
        this.view = view;
        this.outbox = outbox;
        this.memberStates = memberStates;
        this.health = health;
        this.random = random;
        this.periodUs = settings.probePeriodUs();
        this.ownAddressIndex = settings.ownAddressIndex();
        this.lastSequenceNumber = random.nextInt();
        this.probeOrder = new ProbeOrder(view.addressCount(), random);
    }

    /** Abandons all probes and starts a new round over a changed address list. */
    void onAddressesChanged(int newOwnAddressIndex) {
        ownAddressIndex = newOwnAddressIndex;
        probeOrder = new ProbeOrder(view.addressCount(), random);
        runningProbes.clear();
        relayedProbes.clear();
    }

    /**
     * Starts the next probe. Addresses without a present member are skipped on the way; at most one
     * of them is pinged.
     */
    void startNextProbe(long nowUs) {
        boolean absentPinged = false;
        for (int skipped = 0; skipped < MAX_SKIPPED_ADDRESSES; skipped++) {
            int addressIndex = nextAddress();
            if (addressIndex < 0) {
                break;
            }
            Member member = view.memberAt(addressIndex);
            if (member != null && member.status().present() && !member.name().equals(self.name())) {
                startProbe(nowUs, member);
                break;
            }
            if (!absentPinged) {
                absentPinged = true;
                // Tells the process at this address, if there is one, which status it has in this
                // process's view, so that it can refute that status.
                outbox.sendEssential(addressIndex, Message.Type.PING, 0, "", correctionFor(member));
            }
        }
        if (random.nextInt(Math.max(1, view.addressCount())) == 0) {
            probeOneWithoutAddress(nowUs);
        }
    }

    /**
     * Returns the index of the next address other than this process's own, or -1 if there is none.
     * A new round starts after the last address.
     */
    private int nextAddress() {
        int addressIndex = nextAddressOfRound();
        if (addressIndex < 0) {
            probeOrder = new ProbeOrder(view.addressCount(), random);
            addressIndex = nextAddressOfRound();
        }
        return addressIndex;
    }

    private int nextAddressOfRound() {
        int addressIndex = probeOrder.next();
        return addressIndex >= 0 && addressIndex == ownAddressIndex
                ? probeOrder.next()
                : addressIndex;
    }

    /**
     * Probes one present member whose address this process does not know. Only other members can
     * ping that member.
     */
    private void probeOneWithoutAddress(long nowUs) {
        List<Member> without =
                view.all()
                        .filter(
                                m ->
                                        m.addressIndex() < 0
                                                && m.status().present()
                                                && !m.name().equals(self.name()))
                        .toList();
        if (!without.isEmpty()) {
            startProbe(nowUs, without.get(random.nextInt(without.size())));
        }
    }

    private static List<MemberUpdate> correctionFor(Member member) {
        return member == null || member.status() == Status.ALIVE
                ? List.of()
                : List.of(member.lastUpdate());
    }

    private void startProbe(long nowUs, Member member) {
        if (runningProbes.size() < MAX_RUNNING_PROBES && !self.superseded()) {
            Probe probe = new Probe(member.name(), member.addressIndex(), nowUs);
            int sequenceNumber = nextSequenceNumber();
            runningProbes.put(sequenceNumber, probe);
            sendProbe(nowUs, sequenceNumber, probe);
        }
    }

    /**
     * Returns the next sequence number. It is never 0, which means that a message has no sequence
     * number.
     */
    private int nextSequenceNumber() {
        lastSequenceNumber = lastSequenceNumber + 1 == 0 ? 1 : lastSequenceNumber + 1;
        return lastSequenceNumber;
    }

    /**
     * Called when other members suspect a member. This process may then probe the suspect itself,
     * so that the suspicion does not depend on one process alone.
     */
    void onSuspicion(long nowUs, Member suspect) {
        if (random.nextDouble() * Math.max(1, view.presentCount()) < EXPECTED_CONFIRMING_PROBES
                && !suspect.name().equals(self.name())
                && runningProbes.values().stream().noneMatch(p -> p.name.equals(suspect.name()))) {
            startProbe(nowUs, suspect);
        }
    }

    /** Sends the pings that are due and ends the probes that have timed out. */
    void runDueActions(long nowUs) {
        for (Map.Entry<Integer, Probe> entry : List.copyOf(runningProbes.entrySet())) {
            Probe probe = entry.getValue();
            if (nowUs >= timeoutAtUs(probe)) {
                runningProbes.remove(entry.getKey());
                onTimeout(nowUs, probe);
            } else if (nowUs >= probe.nextSendUs) {
                sendProbe(nowUs, entry.getKey(), probe);
            }
        }
        for (Iterator<Map.Entry<Integer, RelayedProbe>> entries =
                        relayedProbes.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<Integer, RelayedProbe> entry = entries.next();
            RelayedProbe relayed = entry.getValue();
            if (nowUs >= relayed.endUs) {
                entries.remove();
                outbox.sendEssential(
                        relayed.requesterIndex,
                        Message.Type.NACK,
                        relayed.requestSequenceNumber,
                        relayed.target,
                        List.of());
            } else if (nowUs >= relayed.nextSendUs) {
                sendRelayed(nowUs, entry.getKey(), relayed);
            }
        }
    }

    private void sendProbe(long nowUs, int sequenceNumber, Probe probe) {
        Member member = view.get(probe.name);
        if (probe.addressIndex >= 0) {
            outbox.sendEssential(
                    probe.addressIndex,
                    Message.Type.PING,
                    sequenceNumber,
                    probe.name,
                    correctionFor(member));
        }
        boolean indirectDue =
                probe.addressIndex < 0
                        || nowUs >= probe.startUs + periodsUs(INDIRECT_DELAY_PERIODS);
        if (!probe.helpersRequested && indirectDue) {
            probe.helpersRequested = true;
            for (Member helper : pickRandom(MAX_HELPERS, probe.name)) {
                probe.helperCount++;
                outbox.sendEssential(
                        helper.addressIndex(),
                        Message.Type.PING_REQUEST,
                        sequenceNumber,
                        probe.name,
                        List.of());
            }
        }
        probe.nextSendUs = nowUs + periodsUs(RETRY_DELAY_PERIODS);
    }

    private long periodsUs(double periods) {
        return (long) (periods * periodUs);
    }

    private long timeoutAtUs(Probe probe) {
        return probe.startUs + periodsUs(PROBE_TIMEOUT_PERIODS) * health.timeoutMultiplier();
    }

    private void onTimeout(long nowUs, Probe probe) {
        if (probe.helperCount > 0 && probe.nackCount == 0) {
            // No helper replied at all, so this process probably does not receive datagrams
            // reliably.
            health.degrade(1);
        }
        Member member = view.get(probe.name);
        if (member != null && !self.leaving()) {
            memberStates.suspect(nowUs, member);
        }
    }

    /**
     * Returns up to {@code count} distinct present members with a known address, drawn at random.
     * This process and the member named {@code excluded} are left out.
     */
    List<Member> pickRandom(int count, String excluded) {
        List<Member> picked = new ArrayList<>();
        int addressCount = view.addressCount();
        for (int i = 0; i < 4 * count + 16 && picked.size() < count && addressCount > 0; i++) {
            addIfEligible(picked, view.memberAt(random.nextInt(addressCount)), excluded);
        }
        if (picked.isEmpty()) {
            // Only few of the many addresses are in use, so all of them are searched in order.
            for (int i = 0; i < addressCount && picked.size() < count; i++) {
                addIfEligible(picked, view.memberAt(i), excluded);
            }
        }
        return picked;
    }

    private void addIfEligible(List<Member> picked, Member member, String excluded) {
        if (member != null
                && member.status().present()
                && member.addressIndex() >= 0
                && !picked.contains(member)
                && !member.name().equals(excluded)
                && !member.name().equals(self.name())) {
            picked.add(member);
        }
    }

    /** Handles another process's request to ping a member on its behalf. */
    void onPingRequest(long nowUs, int requesterIndex, Message request) {
        Member target = view.get(request.target());
        if (target == null
                || target.addressIndex() < 0
                || relayedProbes.size() >= MAX_RELAYED_PROBES) {
            outbox.sendEssential(
                    requesterIndex,
                    Message.Type.NACK,
                    request.sequenceNumber(),
                    request.target(),
                    List.of());
            return;
        }
        RelayedProbe relayed =
                new RelayedProbe(
                        requesterIndex,
                        request.sequenceNumber(),
                        target,
                        nowUs,
                        nowUs + periodsUs(INDIRECT_DELAY_PERIODS));
        int sequenceNumber = nextSequenceNumber();
        relayedProbes.put(sequenceNumber, relayed);
        sendRelayed(nowUs, sequenceNumber, relayed);
    }

    private void sendRelayed(long nowUs, int sequenceNumber, RelayedProbe relayed) {
        relayed.nextSendUs = nowUs + periodsUs(RETRY_DELAY_PERIODS);
        outbox.sendEssential(
                relayed.addressIndex,
                Message.Type.PING,
                sequenceNumber,
                relayed.target,
                correctionFor(view.get(relayed.target)));
    }

    /**
     * Handles an acknowledgement of a ping.
     *
     * @param senderIndex index of the address from which the acknowledgement was received
     * @param current true if the sender is another member and has the incarnation that this process
     *     knows for it
     */
    void onAck(int senderIndex, Message ack, boolean current) {
        Probe probe = runningProbes.get(ack.sequenceNumber());
        if (probe != null && (probe.addressIndex != senderIndex || current)) {
            runningProbes.remove(ack.sequenceNumber());
            // An answer of another process at the same address says nothing about the member, so it
            // does not improve the health score.
            if (probe.addressIndex != senderIndex || ack.sender().name().equals(probe.name)) {
                health.recover();
            }
        }
        RelayedProbe relayed = relayedProbes.get(ack.sequenceNumber());
        if (relayed != null && current && ack.sender().name().equals(relayed.target)) {
            relayedProbes.remove(ack.sequenceNumber());
            outbox.sendEssential(
                    relayed.requesterIndex,
                    Message.Type.ACK,
                    relayed.requestSequenceNumber,
                    relayed.target,
                    List.of(ack.sender()));
        }
    }

    /** Handles a helper's report that the target of a probe did not answer the helper either. */
    void onNack(Message nack) {
        Probe probe = runningProbes.get(nack.sequenceNumber());
        if (probe != null) {
            probe.nackCount++;
        }
    }

    /** Abandons all probes, because this process may have missed replies while it was stalled. */
    void onStall() {
        runningProbes.clear();
        relayedProbes.clear();
    }

    /**
     * Returns the time at which the next ping or timeout is due, or {@link Long#MAX_VALUE} if no
     * probe runs.
     */
    long nextActionAtUs() {
        long actionUs = Long.MAX_VALUE;
        for (Probe probe : runningProbes.values()) {
            actionUs = Math.min(actionUs, Math.min(probe.nextSendUs, timeoutAtUs(probe)));
        }
        for (RelayedProbe relayed : relayedProbes.values()) {
            actionUs = Math.min(actionUs, Math.min(relayed.nextSendUs, relayed.endUs));
        }
        return actionUs;
    }
}
