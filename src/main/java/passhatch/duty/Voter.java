package passhatch.duty;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * One voter. It grants a term of a duty to one holder once the grant is on disk, and then no other
 * term for the length of a lease on its own clock (leases after Gray, Cheriton, 1989; a majority of
 * them as in Paxos; tokens as in Chubby, Burrows, 2006). Not thread-safe; the clock passed in must
 * not go back.
 */
public class Voter {

    /** State of a duty, beside the promise on disk. */
    private static final class Lease {
        private final Promise promise;
        private long untilUs;
        private boolean released;

        Lease(Promise promise, long untilUs) {
            this.promise = promise;
            this.untilUs = untilUs;
        }
    }

    /** Fills the duty and the holder of a message that concerns neither. */
    private static final String PLACEHOLDER = "-";

    private final DutySettings settings;
    private final Predicate<Promise> promiseWriter;
    private final Map<String, Lease> leases = new HashMap<>();

    /** The maximum terms that other voters have reported while this one does not vote. */
    private final Map<String, Long> reportedTerms = new HashMap<>();

    private boolean voting;
    private long maxForgottenTerm;
    private long votingFromUs = Long.MAX_VALUE;

    /**
     * Creates a voter from what its disk holds. Without a {@link Promise#votingMarker} on its disk
     * it has lost its promises or never voted. It then grants nothing until it is initialized, or
     * the other voters have reported which terms may have been granted.
     *
     * @param promises the last promise of each duty on its disk
     * @param promiseWriter writes a promise and returns true once it is durable; false if it may
     *     not be on disk
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
     * Returns until when the voter is bound to the holder on its disk, since renewals before a
     * restart are not recorded.
     */
    protected long boundUntilAfterStartUs(long nowUs) {
        return nowUs + settings.leaseUs();
    }

    /** Returns whether a term may be granted to a holder other than the promised one. */
    protected boolean isNewer(long term, Promise promised) {
        return term > promised.term();
    }

    /** Writes a promise to disk; returns false if it may not be there. */
    protected boolean persist(Promise promise) {
        return promiseWriter.test(promise);
    }

    /**
     * Starts to vote without stored promises. Only for voters that never voted: an operator
     * requests this once, when the first set of voters is initialized.
     *
     * @return false if it votes already, or its disk fails
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

    /** Returns whether it votes. */
    public boolean isVoting() {
        return voting;
    }

    /**
     * Returns the message to send to all other voters periodically while this one does not vote.
     */
    public DutyMessage createRecall() {
        return new DutyMessage(
                DutyMessage.Kind.RECALL, settings.epoch(), PLACEHOLDER, 1, 0, PLACEHOLDER, 0);
    }

    /**
     * Records the terms that another voter reports. More than half of all voters, not counting this
     * one, overlap with every majority that this one may have been part of, so together they report
     * each term that was held. Leases that this voter granted itself end one lease later.
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
     * Handles a message of a candidate or another voter; returns the reply, or null if there is
     * none.
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

    /** Returns the promise for a duty, or null. */
    public Promise promiseFor(String duty) {
        Lease lease = leases.get(duty);
        return lease == null ? null : lease.promise;
    }

    /** Returns whether the promised holder has released the duty. */
    public boolean isReleased(String duty) {
        Lease lease = leases.get(duty);
        return lease != null && lease.released;
    }

    /** Returns how long it is still bound to the holder, in microseconds; 0 if it is not. */
    public long boundForUs(long nowUs, String duty) {
        Lease lease = leases.get(duty);
        return lease == null || lease.released ? 0 : Math.max(0, lease.untilUs - nowUs);
    }
}
