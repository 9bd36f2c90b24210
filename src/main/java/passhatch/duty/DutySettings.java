package passhatch.duty;

import java.util.List;

/**
 * Settings that all voters and candidates of one configuration share.
 *
 * @param voters names of the voters; three, five or seven
 * @param epoch of this configuration; voters reply only to messages of their own epoch
 * @param leaseUs how long a voter grants a duty, in microseconds on its clock
 * @param drift maximum deviation of any clock's rate, as a fraction; 0 or more and below 1
 */
public record DutySettings(List<String> voters, long epoch, long leaseUs, double drift) {

    /** Returns how long a holder may act after its request, in microseconds on its own clock. */
    public long holderLeaseUs() {
        return (long) (leaseUs * (1 - drift) / (1 + drift));
    }
}
