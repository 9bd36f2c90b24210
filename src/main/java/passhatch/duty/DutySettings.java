package passhatch.duty;

import java.util.List;

/**
 * What all voters and candidates of one configuration have in common.
 *
 * @param voters names of the voters; three, five or seven
 * @param epoch of this configuration; voters answer those of their own only
 * @param leaseUs how long a voter grants a duty, in microseconds on its clock
 * @param drift how far the pace of any clock is off at most, as a share; 0 or more and below 1
 */
public record DutySettings(List<String> voters, long epoch, long leaseUs, double drift) {

    /** How long a holder may act, in microseconds on its own clock, counted from its asking. */
    public long holderLeaseUs() {
        return (long) (leaseUs * (1 - drift) / (1 + drift));
    }
}
