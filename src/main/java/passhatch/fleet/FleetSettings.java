package passhatch.fleet;

/**
 * How one process takes part in a fleet. Other processes' addresses are known here by their place
 * in the configured list only, from 0; what stands there is the driver's business.
 *
 * @param fleetName its name; datagrams of others are dropped
 * @param name this process's, the same after a restart and unlike all others'
 * @param version of the program that it runs
 * @param roles what it is there for, separated by commas; may be empty
 * @param ownAddressIndex place of its own address in the list, or -1
 * @param addressCount how many there are in the list, its own among them
 * @param probePeriodUs between two probes, in microseconds; all other times follow from it
 * @param bytesPerSecond that are sent at most
 * @param forgetAfterUs how long one that failed or left is still shown, in microseconds
 */
public record FleetSettings(
        String fleetName,
        String name,
        String version,
        String roles,
        int ownAddressIndex,
        int addressCount,
        long probePeriodUs,
        long bytesPerSecond,
        long forgetAfterUs) {

    /** The same with another list. */
    FleetSettings withAddresses(int newOwnAddressIndex, int newAddressCount) {
        return new FleetSettings(
                fleetName,
                name,
                version,
                roles,
                newOwnAddressIndex,
                newAddressCount,
                probePeriodUs,
                bytesPerSecond,
                forgetAfterUs);
    }
}
