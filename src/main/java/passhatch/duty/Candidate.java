package passhatch.duty;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A process that competes for one duty, which at most one process holds at a time. A candidate
 * holds the duty once more than half of the voters have granted the term that it requested. The
 * candidate's lease starts when the request is sent to the voters, and is shortened by the maximum
 * clock drift. The candidate renews the lease well before the lease ends. This class is not
 * thread-safe. The times passed to its methods must not decrease, and must come from a clock that
 * keeps running while the process is stalled.
 */
public class Candidate {

    /**
     * Number of requests that a holder sends during one lease, so that the holder keeps the duty
     * even if two requests in a row are lost.
     */
    private static final int REQUESTS_PER_LEASE = 4;

    /**
     * The minimum backoff after a failed request is the duration of a lease divided by this number.
     */
    private static final int LEASE_TO_MIN_BACKOFF_RATIO = 32;

    /**
     * Maximum number of attempts in quick succession after another holder has handed the duty over
     * to this candidate. Several attempts may be needed, because that holder's release message may
     * reach the voters after the first requests of this candidate.
     */
    private static final int MAX_ACQUIRE_ATTEMPTS = 20;

    private static final int LEASE_TO_ACQUIRE_RETRY_RATIO = 256;

    private enum Phase {
        IDLE,
        WAITING,
        ASKING,
        HOLDING
    }

    private final DutySettings settings;
    private final String duty;
    private final String holder;
    private final RandomGenerator random;
    private final DutyActions actions;
    private final long rankDelayUs;
    private Phase phase = Phase.IDLE;
    private long term;
    private long maxSeenTerm;
    private int round;
    private long lastRequestUs;
    private final Set<String> grantedBy = new HashSet<>();
    private final Set<String> refusedBy = new HashSet<>();
    private long leaseUntilUs;
    private long wakeAtUs = Long.MAX_VALUE;
    private long backoffUs;
    private long maxRefusalWaitUs;
    private int acquireAttemptsLeft;

    /**
     * Creates a candidate that does not compete for the duty yet.
     *
     * @param holder name and incarnation of this process; no other process, and no earlier run of
     *     this process, has the same text
     * @param rank 0 for processes that are preferred as holder; a process with a higher rank waits
     *     longer before each request
     */
    public Candidate(
            DutySettings settings,
            String duty,
            String holder,
            int rank,
            RandomGenerator random,
            DutyActions actions) {
        this.settings = settings;
        this.duty = duty;
        this.holder = holder;
        this.random = random;
        this.actions = actions;
        this.rankDelayUs = rank * (settings.leaseUs() / LEASE_TO_MIN_BACKOFF_RATIO);
        this.backoffUs = settings.leaseUs() / LEASE_TO_MIN_BACKOFF_RATIO;
    }

    /** Returns the number of voters that have to grant a term. */
    protected int majority() {
        return settings.voters().size() / 2 + 1;
    }

    /**
     * Returns the time at which a granted lease starts.
     *
     * @param requestUs time at which the request was sent
     * @param nowUs time at which the reply was received
     */
    protected long leaseStartUs(long requestUs, long nowUs) {
        return requestUs;
    }

    /** Starts competing for the duty. */
    public void campaign(long nowUs) {
        if (phase == Phase.IDLE) {
            scheduleRequest(nowUs, 0);
        }
    }

    /**
     * Returns the time at which the caller has to call {@link #timer}; {@link Long#MAX_VALUE} for
     * never.
     */
    public long wakeAtUs() {
        return wakeAtUs;
    }

    /**
     * Returns whether this process may act as the holder of the duty now. The caller has to check
     * this before each such action.
     */
    public boolean mayAct(long nowUs) {
        return phase == Phase.HOLDING && nowUs < leaseUntilUs;
    }

    /**
     * Returns whether this process may act as the holder of the duty now, and holds the duty in the
     * given term.
     */
    public boolean mayActInTerm(long nowUs, long expectedTerm) {
        return mayAct(nowUs) && term == expectedTerm;
    }

    /** Returns the term in which this process holds the duty; 0 if it does not hold the duty. */
    public long term() {
        return phase == Phase.HOLDING ? term : 0;
    }

    /**
     * Returns how long this process may still act as the holder if no renewal succeeds, in
     * microseconds; 0 if it may not act.
     */
    public long remainingLeaseUs(long nowUs) {
        return mayAct(nowUs) ? leaseUntilUs - nowUs : 0;
    }

    /** Performs all actions that are due. */
    public void timer(long nowUs) {
        if (phase == Phase.HOLDING && nowUs >= leaseUntilUs) {
            loseLease(nowUs);
        } else if (nowUs >= wakeAtUs) {
            switch (phase) {
                case WAITING -> requestTerm(nowUs, Math.max(term, maxSeenTerm) + 1);
                case ASKING -> onRequestFailed(nowUs);
                case HOLDING -> renew(nowUs);
                case IDLE -> wakeAtUs = Long.MAX_VALUE;
            }
        }
    }

    private void requestTerm(long nowUs, long newTerm) {
        phase = Phase.ASKING;
        term = newTerm;
        maxRefusalWaitUs = 0;
        sendRequest(nowUs);
        wakeAtUs = nowUs + settings.leaseUs() / REQUESTS_PER_LEASE;
    }

    private void renew(long nowUs) {
        sendRequest(nowUs);
        wakeAtUs = Math.min(leaseUntilUs, nowUs + settings.leaseUs() / REQUESTS_PER_LEASE);
    }

    private void sendRequest(long nowUs) {
        round++;
        lastRequestUs = nowUs;
        grantedBy.clear();
        refusedBy.clear();
        sendToVoters(DutyMessage.Kind.REQUEST);
    }

    private void sendToVoters(DutyMessage.Kind kind) {
        DutyMessage message = createMessage(kind);
        settings.voters().forEach(v -> actions.send(v, message));
    }

    private DutyMessage createMessage(DutyMessage.Kind kind) {
        return new DutyMessage(kind, settings.epoch(), duty, term, round, holder, 0);
    }

    /**
     * Handles a reply of a voter, or a message in which another holder hands the duty over to this
     * candidate.
     */
    public void onMessage(long nowUs, String from, DutyMessage message) {
        if (message.epoch() != settings.epoch() || !message.duty().equals(duty)) {
            return;
        }
        if (message.kind() == DutyMessage.Kind.TAKE) {
            onTake(nowUs, message);
        } else if (message.holder().equals(holder) && message.round() == round) {
            if (message.kind() == DutyMessage.Kind.GRANT && message.term() == term) {
                onGrant(nowUs, from);
            } else if (message.kind() == DutyMessage.Kind.REFUSAL) {
                onRefusal(nowUs, from, message);
            }
        }
    }

    private void onGrant(long nowUs, String from) {
        if (phase != Phase.ASKING && phase != Phase.HOLDING || !settings.voters().contains(from)) {
            return;
        }
        grantedBy.add(from);
        long until = leaseStartUs(lastRequestUs, nowUs) + settings.holderLeaseUs();
        if (grantedBy.size() < majority() || nowUs >= until) {
            return;
        }
        if (phase == Phase.HOLDING && nowUs >= leaseUntilUs) {
            loseLease(nowUs);
            return;
        }
        leaseUntilUs = Math.max(until, phase == Phase.HOLDING ? leaseUntilUs : 0);
        wakeAtUs = Math.min(leaseUntilUs, lastRequestUs + settings.leaseUs() / REQUESTS_PER_LEASE);
        if (phase == Phase.ASKING) {
            phase = Phase.HOLDING;
            backoffUs = settings.leaseUs() / LEASE_TO_MIN_BACKOFF_RATIO;
            acquireAttemptsLeft = 0;
            actions.dutyAcquired(term);
        }
    }

    private void onRefusal(long nowUs, String from, DutyMessage refusal) {
        maxSeenTerm = Math.max(maxSeenTerm, refusal.term());
        if (phase == Phase.ASKING) {
            refusedBy.add(from);
            maxRefusalWaitUs = Math.max(maxRefusalWaitUs, refusal.waitUs());
            if (settings.voters().size() - refusedBy.size() < majority()) {
                onRequestFailed(nowUs);
            }
        }
    }

    /**
     * Releases the grants received for the failed request, so that other candidates need not wait
     * for the end of an unused lease, and schedules the next request.
     */
    private void onRequestFailed(long nowUs) {
        sendToVoters(DutyMessage.Kind.RELEASE);
        if (acquireAttemptsLeft > 0) {
            acquireAttemptsLeft--;
            phase = Phase.WAITING;
            wakeAtUs = nowUs + settings.leaseUs() / LEASE_TO_ACQUIRE_RETRY_RATIO;
        } else {
            // If another process holds the duty, the voters report when its lease ends, and the
            // minimum backoff is enough. After a split vote the backoff is doubled.
            backoffUs =
                    maxRefusalWaitUs > 0
                            ? settings.leaseUs() / LEASE_TO_MIN_BACKOFF_RATIO
                            : Math.min(2 * backoffUs, settings.leaseUs());
            scheduleRequest(nowUs, maxRefusalWaitUs);
        }
    }

    private void scheduleRequest(long nowUs, long minDelayUs) {
        phase = Phase.WAITING;
        wakeAtUs = nowUs + minDelayUs + rankDelayUs + 1 + random.nextLong(backoffUs);
    }

    private void loseLease(long nowUs) {
        long lostTerm = term;
        scheduleRequest(nowUs, 0);
        actions.dutyLost(lostTerm);
    }

    private void onTake(long nowUs, DutyMessage message) {
        maxSeenTerm = Math.max(maxSeenTerm, message.term());
        if (phase == Phase.WAITING) {
            acquireAttemptsLeft = MAX_ACQUIRE_ATTEMPTS;
            requestTerm(nowUs, Math.max(term, maxSeenTerm) + 1);
        }
    }

    /**
     * Stops competing for the duty, and gives the duty up if this process holds it.
     *
     * @param to name of the candidate that should acquire the duty next; null if any candidate may
     */
    public void giveUp(long nowUs, String to) {
        Phase before = phase;
        phase = Phase.IDLE;
        wakeAtUs = Long.MAX_VALUE;
        if (before == Phase.HOLDING) {
            // The host has to stop acting before any other process is notified that the duty is
            // free.
            actions.dutyLost(term);
        }
        if (before == Phase.HOLDING || before == Phase.ASKING) {
            sendToVoters(DutyMessage.Kind.RELEASE);
        }
        if (before == Phase.HOLDING && to != null) {
            actions.send(to, createMessage(DutyMessage.Kind.TAKE));
        }
    }

    /** Returns the time at which this candidate last sent a request to the voters. */
    public long lastRequestUs() {
        return lastRequestUs;
    }

    /**
     * Returns the kind of reply that a voter gave to this candidate's last request; null if the
     * voter has not replied.
     */
    public DutyMessage.Kind lastReplyOf(String voter) {
        return grantedBy.contains(voter)
                ? DutyMessage.Kind.GRANT
                : refusedBy.contains(voter) ? DutyMessage.Kind.REFUSAL : null;
    }

    @Override
    public String toString() {
        return phase
                + " term "
                + term
                + " round "
                + round
                + " granted "
                + grantedBy.size()
                + " seen "
                + maxSeenTerm
                + " tries "
                + acquireAttemptsLeft
                + " bound "
                + maxRefusalWaitUs;
    }
}
