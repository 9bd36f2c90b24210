package passhatch.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Applies updates about members to the view. An update replaces the one already known about the
 * same member if it {@linkplain MemberUpdate#overrides overrides} that one. Wrong updates about
 * this process itself are refuted. A suspect becomes failed when its suspicion timeout ends. The
 * timeout is that of SWIM with Lifeguard's dynamic suspicion: it becomes shorter as more members
 * report the suspect independently.
 */
final class MemberStates {

    /**
     * The shortest suspicion timeout, in probe periods, for fleets of up to ten members. In larger
     * fleets, the timeout grows with the decimal logarithm of the fleet's size.
     */
    private static final double MIN_SUSPICION_PERIODS = 2;

    /** The longest suspicion timeout as a multiple of the shortest. */
    private static final double MAX_TO_MIN_SUSPICION_RATIO = 6;

    /**
     * Number of confirmations of a suspicion, that is, reports after the first one, with which the
     * suspicion timeout reaches its minimum.
     */
    private static final int MAX_CONFIRMATIONS = MemberUpdate.MAX_REPORTERS - 1;

    /**
     * Placeholders for the reporters of a suspicion whose real reporters are not known. Their
     * number is the maximum, so the suspicion timeout is the shortest.
     */
    private static final List<Integer> PLACEHOLDER_REPORTERS =
            IntStream.range(0, MemberUpdate.MAX_REPORTERS).boxed().toList();

    /**
     * Interval between checks for expired suspicions, in probe periods. There is no timer for each
     * suspicion because its deadline changes with every update received.
     */
    private static final double EXPIRY_CHECK_INTERVAL_PERIODS = 0.2;

    /** Minimum time between two warnings that another process uses this process's name. */
    private static final long CONFLICT_WARNING_INTERVAL_US = 10_000_000;

    private final LocalMember self;
    private final View view;
    private final Outbox outbox;
    private final LocalHealth health;
    private final FleetActions actions;
    private final Consumer<Member> suspicionListener;
    private final long periodUs;
    private long lastExpiryCheckUs;
    private long lastConflictWarningUs = Long.MIN_VALUE / 2;

    /**
     * Creates the member states; {@code suspicionListener} is called for each member that other
     * members suspect.
     */
    MemberStates(
            FleetSettings settings,
            LocalMember self,
            View view,
            Outbox outbox,
            LocalHealth health,
            FleetActions actions,
            Consumer<Member> suspicionListener) {
        this.self = self;
        this.view = view;
        this.outbox = outbox;
        this.health = health;
        this.actions = actions;
        this.suspicionListener = suspicionListener;
        this.periodUs = settings.probePeriodUs();
    }

    /**
     * Applies an update about a member, unless the update already known about that member overrides
     * the new one.
     */
    void apply(long nowUs, MemberUpdate update) {
        boolean aboutSelf = update.name().equals(self.name());
        if (aboutSelf && !self.superseded()) {
            applyToSelf(nowUs, update);
            return;
        }
        Member member = view.get(update.name());
        if (member == null) {
            applyToUnknown(nowUs, update);
            return;
        }
        MemberUpdate known = member.lastUpdate();
        if (update.overrides(known)) {
            // A reported failure of a member that this process knows as alive is not final. The
            // member may not have received the suspicion, for example because of a partition that
            // has healed. So it first becomes suspect and has time to refute.
            boolean mayRefute =
                    update.status() == Status.FAILED
                            && known.status() == Status.ALIVE
                            && !aboutSelf;
            member =
                    changeMember(
                            nowUs,
                            member,
                            mayRefute ? suspectUpdate(update, PLACEHOLDER_REPORTERS) : update);
            if (member.status() == Status.SUSPECT) {
                suspicionListener.accept(member);
            }
        } else if (update.incarnation().equals(known.incarnation())) {
            if (update.status() == Status.SUSPECT && known.status() == Status.SUSPECT) {
                addReporters(nowUs, member, update.reporters());
            } else if (update.status() == Status.ALIVE
                    && known.status() == Status.ALIVE
                    && known.version().isEmpty()
                    && !update.version().isEmpty()) {
                member = view.change(member, update, nowUs);
            }
        }
        if (aboutSelf) {
            adoptNewerEpochIfAbsent(nowUs, member);
        }
    }

    private void applyToUnknown(long nowUs, MemberUpdate update) {
        MemberUpdate removed = view.lastUpdateOfRemoved(update.name());
        if (removed != null && !update.overrides(removed)) {
            if (update.status().present()) {
                outbox.gossipQueue().add(removed);
            }
            return;
        }
        Member member = view.add(update, nowUs);
        if (member != null) {
            outbox.gossipQueue().add(update);
            actions.memberChanged(null, member.info());
        }
    }

    private void applyToSelf(long nowUs, MemberUpdate update) {
        Incarnation ownIncarnation = self.incarnation();
        int order = update.incarnation().compareTo(ownIncarnation);
        if (update.incarnation().isSameRun(ownIncarnation)) {
            boolean wrong = update.status() != (self.leaving() ? Status.LEFT : Status.ALIVE);
            if (!self.leaving() && order >= 0 && (wrong || order > 0)) {
                if (update.status() == Status.SUSPECT || update.status() == Status.FAILED) {
                    health.degrade(1);
                }
                adoptIncarnation(
                        nowUs,
                        new Incarnation(
                                ownIncarnation.epoch(),
                                ownIncarnation.runId(),
                                update.incarnation().refutation() + 1));
            }
        } else if (order > 0 && !self.leaving()) {
            if (update.status().present()) {
                self.superseded(true);
                actions.warn(
                        "another process is "
                                + self.name()
                                + " with the newer incarnation "
                                + update.incarnation()
                                + ", so this one ("
                                + ownIncarnation
                                + ") gives way");
                changeMember(nowUs, view.get(self.name()), update);
            } else {
                // The update is about an earlier run of this process whose epoch was lost, for
                // example because the machine was restored from a snapshot.
                adoptNewerEpoch(nowUs, update);
            }
        } else if (update.status() == Status.ALIVE) {
            // The update is about an earlier run of this process or about another process with its
            // name. That process learns from this process's update that it is superseded.
            outbox.gossipQueue().add(self.currentUpdate());
        }
    }

    /** Warns that another process uses this process's name with an older incarnation. */
    void onNameConflict(long nowUs, MemberUpdate sender, int addressIndex) {
        if (nowUs - lastConflictWarningUs >= CONFLICT_WARNING_INTERVAL_US) {
            lastConflictWarningUs = nowUs;
            actions.warn(
                    "another process at address "
                            + addressIndex
                            + " of the list uses the name "
                            + sender.name()
                            + " with the older incarnation "
                            + sender.incarnation()
                            + " and has to give way");
        }
    }

    private void adoptNewerEpochIfAbsent(long nowUs, Member own) {
        if (!own.status().present()) {
            adoptNewerEpoch(nowUs, own.lastUpdate());
        }
    }

    /**
     * Adopts an incarnation that is newer than that of another run under this process's name. That
     * run has ended.
     */
    private void adoptNewerEpoch(long nowUs, MemberUpdate endedRun) {
        long epoch = endedRun.incarnation().epoch() + 1;
        if (actions.persistEpoch(epoch)) {
            self.superseded(false);
            adoptIncarnation(nowUs, new Incarnation(epoch, self.incarnation().runId(), 0));
            actions.warn(
                    "an earlier run of "
                            + self.name()
                            + " ("
                            + endedRun.incarnation()
                            + ") was still known, so this one goes on as "
                            + self.incarnation());
        }
    }

    private void adoptIncarnation(long nowUs, Incarnation incarnation) {
        self.incarnation(incarnation);
        changeMember(nowUs, view.get(self.name()), self.currentUpdate());
    }

    /**
     * Marks a member as suspect because it did not answer this process, or adds this process to the
     * reporters if the member is already suspect.
     */
    void suspect(long nowUs, Member member) {
        List<Integer> ownReport = List.of(shortHash(self.name()));
        if (member.status() == Status.ALIVE) {
            changeMember(nowUs, member, suspectUpdate(member.lastUpdate(), ownReport));
        } else if (member.status() == Status.SUSPECT) {
            addReporters(nowUs, member, ownReport);
        }
    }

    private void addReporters(long nowUs, Member member, List<Integer> reporters) {
        List<Integer> all = new ArrayList<>(member.lastUpdate().reporters());
        for (Integer reporter : reporters) {
            if (!all.contains(reporter) && all.size() < MemberUpdate.MAX_REPORTERS) {
                all.add(reporter);
            }
        }
        if (all.size() > member.lastUpdate().reporters().size()) {
            MemberUpdate update = suspectUpdate(member.lastUpdate(), all);
            view.change(member, update, nowUs);
            outbox.gossipQueue().add(update);
        }
    }

    private static MemberUpdate suspectUpdate(MemberUpdate update, List<Integer> reporters) {
        return new MemberUpdate(
                Status.SUSPECT,
                update.name(),
                update.incarnation(),
                update.addressIndex(),
                "",
                "",
                reporters);
    }

    private static int shortHash(String name) {
        return (short) Names.hash(name);
    }

    private Member changeMember(long nowUs, Member member, MemberUpdate update) {
        Member changed = view.change(member, update, nowUs);
        outbox.gossipQueue().add(update);
        actions.memberChanged(member.status(), changed.info());
        return changed;
    }

    /** Marks each suspect whose suspicion timeout has ended as failed. */
    void expireSuspicions(long nowUs) {
        if (nowUs < nextExpiryCheckUs()) {
            return;
        }
        lastExpiryCheckUs = nowUs;
        for (Member member : view.suspects()) {
            if (nowUs >= suspicionDeadlineUs(member)) {
                Member failed = changeMember(nowUs, member, failedUpdate(member.lastUpdate()));
                if (member.name().equals(self.name())) {
                    adoptNewerEpochIfAbsent(nowUs, failed);
                }
            }
        }
    }

    private static MemberUpdate failedUpdate(MemberUpdate update) {
        return MemberUpdate.of(
                Status.FAILED, update.name(), update.incarnation(), update.addressIndex());
    }

    /**
     * Returns the time of the next check for expired suspicions, or {@link Long#MAX_VALUE} if no
     * member is suspect.
     */
    long nextExpiryCheckUs() {
        return view.hasSuspects()
                ? lastExpiryCheckUs + (long) (EXPIRY_CHECK_INTERVAL_PERIODS * periodUs)
                : Long.MAX_VALUE;
    }

    private long suspicionDeadlineUs(Member suspect) {
        int presentCount = Math.max(2, view.presentCount());
        double minUs = MIN_SUSPICION_PERIODS * periodUs * Math.max(1, Math.log10(presentCount));
        double maxUs = MAX_TO_MIN_SUSPICION_RATIO * minUs;
        int maxConfirmations = Math.min(MAX_CONFIRMATIONS, presentCount - 2);
        int confirmations = Math.min(maxConfirmations, suspect.lastUpdate().reporters().size() - 1);
        double fraction =
                maxConfirmations <= 0
                        ? 1
                        : Math.log(confirmations + 1) / Math.log(maxConfirmations + 1);
        double timeoutUs = maxUs - (maxUs - minUs) * fraction;
        return suspect.statusSinceUs() + (long) (timeoutUs * health.timeoutMultiplier());
    }

    /**
     * Extends all suspicions by the length of a stall of this process, during which it could not
     * receive refutations.
     */
    void onStall(long stallUs) {
        view.extendSuspicions(stallUs);
    }

    /** Removes the members that failed or left more than {@code afterUs} ago. */
    void removeAbsent(long nowUs, long afterUs) {
        view.removeAbsentBefore(nowUs - afterUs);
    }
}
