package passhatch.duty;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * One of the voters that grant duties. A voter grants a term of a duty to one holder, and writes
 * the grant to disk first. After that, the voter grants no other term of the same duty for the
 * duration of a lease on its own clock, unless the holder releases the duty earlier. Leases follow
 * Gray and Cheriton (1989), a majority of voters is needed as in Paxos, and terms serve as fencing
 * tokens as in Chubby (Burrows, 2006). This class is not thread-safe. The times passed to its
 * methods must not decrease.
 */
public class Voter {

    /**
     * The last promise for a duty, and the time until which this voter grants no other term of the
     * duty.
     */
    private static final class Lease {
        private final Promise promise;
        private long untilUs;
        private boolean released;

        Lease(Promise promise, long untilUs) {
            this.promise = promise;
            this.untilUs = untilUs;
        }
    }

    /** Value of the duty and of the holder in a message that is not about any duty or holder. */
    private static final String PLACEHOLDER = "-";

    private final DutySettings settings;
    private final Predicate<Promise> promiseWriter;
    private final Map<String, Lease> leases = new HashMap<>();

    /**
     * The highest term that each of the other voters has reported, by the name of that voter.
     * Reports are only recorded until this voter votes.
     */
    private final Map<String, Long> reportedTerms = new HashMap<>();

    private boolean voting;
    private long maxForgottenTerm;
    private long votingFromUs = Long.MAX_VALUE;

    /**
     * Creates a voter from the promises on its disk. If the disk has no {@link
     * Promise#votingMarker}, the voter has lost its promises or has never voted. The voter then
     * grants nothing until an operator initializes it, or until enough other voters have reported
     * which terms they have promised.
     *
     * @param promises the last promise of each duty on the disk
     * @param promiseWriter writes a promise; returns true once the promise is durable, false if it
     *     is not certain that the promise is on disk
     */
    public Voter(
            DutySettings settings,
            long nowUs,
            Collection<Promise> promises,
            Predicate<Promise> promiseWriter) {
        this.settings = settings;
        this.promiseWriter = promiseWriter;
        for (Promise promise : promises) {
            if (promise.isVotingMarker()) {
                voting = true;
                maxForgottenTerm = promise.term();
                continue;
            }
            leases.put(promise.duty(), new Lease(promise, boundUntilAfterStartUs(nowUs)));
        }
    }

    /**
     * Returns the time until which a voter that has just started has to assume that the leases that
     * it granted before are still valid. Renewals are not written to disk, so a full lease from now
     * is assumed.
     */
    protected long boundUntilAfterStartUs(long nowUs) {
        return nowUs + settings.leaseUs();
    }

    /**
     * Returns whether a requested term is newer than the promised one, so that this voter may grant
     * the requested term after the end of the promised holder's lease.
     */
    protected boolean isNewer(long term, Promise promised) {
        return term > promised.term();
    }

    /** Writes a promise to disk. Returns false if it is not certain that the promise is on disk. */
    protected boolean persist(Promise promise) {
        return promiseWriter.test(promise);
    }

    /**
     * Starts voting without any promise on disk. This is only for voters that have never voted: an
     * operator requests it once, when the first set of voters is initialized.
     *
     * @return false if this voter votes already, or its disk fails
     */
    public boolean initialize() {
        return !voting && startVoting(0);
    }

    private boolean startVoting(long newMaxForgottenTerm) {
        if (!persist(Promise.votingMarker(newMaxForgottenTerm))) {
            return false;
        }
        maxForgottenTerm = newMaxForgottenTerm;
        voting = true;
        return true;
    }

    /**
     * Returns whether this voter grants or refuses requests. Returns false while promises that this
     * voter has given may be missing from its disk.
     */
    public boolean isVoting() {
        return voting;
    }

    /**
     * Returns a message that asks other voters which terms they have promised. While this voter
     * does not vote, the caller periodically sends the message to all other voters.
     */
    public DutyMessage createRecall() {
        return new DutyMessage(
                DutyMessage.Kind.RECALL, settings.epoch(), PLACEHOLDER, 1, 0, PLACEHOLDER, 0);
    }

    /**
     * Records the maximum term that another voter reports, and starts voting once that is safe. Two
     * conditions must hold. First, reports from more than half of all voters, without this one, are
     * needed: each majority that has granted a term includes one of the reporting voters, so the
     * reports cover every term that was held. Second, one lease must pass, so that all leases that
     * this voter has granted have ended.
     */
    private void onTerms(long nowUs, String from, long term) {
        if (voting || !settings.voters().contains(from)) {
            return;
        }
        reportedTerms.merge(from, term, Math::max);
        if (reportedTerms.size() > settings.voters().size() / 2 && votingFromUs == Long.MAX_VALUE) {
            votingFromUs = boundUntilAfterStartUs(nowUs);
        }
        if (nowUs >= votingFromUs) {
            startVoting(
                    reportedTerms.values().stream().mapToLong(Long::longValue).max().orElseThrow());
        }
    }

    private long maxPromisedTerm() {
        return Math.max(
                maxForgottenTerm,
                leases.values().stream().mapToLong(l -> l.promise.term()).max().orElse(0));
    }

    /**
     * Handles a message of a candidate or another voter.
     *
     * @return the reply, or null if there is none
     */
    public DutyMessage onMessage(long nowUs, String from, DutyMessage message) {
        if (message.epoch() != settings.epoch()) {
            return null;
        }
        if (!voting) {
            if (message.kind() == DutyMessage.Kind.TERMS) {
                onTerms(nowUs, from, message.term());
            }
            return null;
        }
        return switch (message.kind()) {
            case REQUEST -> message.term() < 1 ? null : onRequest(nowUs, message);
            case RECALL -> message.createReply(DutyMessage.Kind.TERMS, maxPromisedTerm(), 0);
            case RELEASE -> {
                onRelease(message);
                yield null;
            }
            default -> null;
        };
    }

    private DutyMessage onRequest(long nowUs, DutyMessage request) {
        Lease lease = leases.get(request.duty());
        if (lease != null) {
            Promise promised = lease.promise;
            boolean renewal =
                    promised.term() == request.term() && promised.holder().equals(request.holder());
            if (renewal) {
                if (lease.released) {
                    return request.createReply(DutyMessage.Kind.REFUSAL, promised.term(), 0);
                }
                lease.untilUs = Math.max(lease.untilUs, nowUs + settings.leaseUs());
                return request.createReply(DutyMessage.Kind.GRANT, request.term(), 0);
            }
            boolean bound = !lease.released && nowUs < lease.untilUs;
            if (bound || !isNewer(request.term(), promised)) {
                return request.createReply(
                        DutyMessage.Kind.REFUSAL,
                        promised.term(),
                        bound ? lease.untilUs - nowUs : 0);
            }
        }
        if (request.term() <= maxForgottenTerm) {
            return request.createReply(DutyMessage.Kind.REFUSAL, maxForgottenTerm, 0);
        }
        Promise promise = new Promise(request.duty(), request.term(), request.holder());
        if (!persist(promise)) {
            return null;
        }
        leases.put(request.duty(), new Lease(promise, nowUs + settings.leaseUs()));
        return request.createReply(DutyMessage.Kind.GRANT, request.term(), 0);
    }

    private void onRelease(DutyMessage message) {
        Lease lease = leases.get(message.duty());
        if (lease != null
                && lease.promise.term() == message.term()
                && lease.promise.holder().equals(message.holder())) {
            lease.released = true;
        }
    }

    /** Returns the last promise that this voter has given for a duty; null if there is none. */
    public Promise promiseFor(String duty) {
        Lease lease = leases.get(duty);
        return lease == null ? null : lease.promise;
    }

    /** Returns whether the holder to which this voter last granted a duty has released the duty. */
    public boolean isReleased(String duty) {
        Lease lease = leases.get(duty);
        return lease != null && lease.released;
    }

    /**
     * Returns the remaining time of the lease that this voter has granted for a duty, in
     * microseconds; 0 if there is no such lease, or the lease has ended or was released.
     */
    public long boundForUs(long nowUs, String duty) {
        Lease lease = leases.get(duty);
        return lease == null || lease.released ? 0 : Math.max(0, lease.untilUs - nowUs);
    }
}
