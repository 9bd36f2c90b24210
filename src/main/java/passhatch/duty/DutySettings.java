package passhatch.duty;

import java.util.List;

/**
 * Settings that are the same for all voters and candidates of one configuration.
 *
 * @param voters names of the voters; three, five or seven
 * @param epoch epoch of this configuration; voters and candidates ignore messages of another epoch
 * @param leaseUs time for which a voter grants a duty, in microseconds on the voter's clock
 * @param drift maximum deviation of any clock from the true rate, as a fraction; 0 or more and
 *     below 1
 */
public record DutySettings(List<String> voters, long epoch, long leaseUs, double drift) {

    /**
     * Returns the time for which a holder may act after it has sent the request that was granted,
     * in microseconds on the holder's clock.
     */
    public long holderLeaseUs() {
        return (long) (leaseUs * (1 - drift) / (1 + drift));
    }
}
