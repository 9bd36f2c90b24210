package passhatch.fleet;

/**
 * Settings of one process in a fleet. The state machine refers to an address by its index in the
 * configured list, from 0. The driver knows which address an index stands for.
 *
 * @param fleetName name of the fleet; datagrams of other fleets are dropped
 * @param name name of this process; stable across restarts and unique in the fleet
 * @param version version of the program that this process runs
 * @param roles roles of this process, separated by commas; may be empty
 * @param ownAddressIndex index of this process's own address in the list, or -1 if it is not listed
 * @param addressCount length of the list, including this process's own address
 * @param probePeriodUs time between two probes, in microseconds; all other intervals follow from it
 * @param bytesPerSecond maximum number of bytes that this process sends per second
 * @param forgetAfterUs how long a member that failed or left is still listed, in microseconds
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

    /** Returns these settings with another address list. */
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
