package passhatch.lab.distribution;

/**
 * The location of a machine.
 *
 * @param region index of the region
 * @param zone index of the zone; unique across all regions
 */
public record Location(int region, int zone) {}
