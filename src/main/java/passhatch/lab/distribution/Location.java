package passhatch.lab.distribution;

/**
 * Where a machine stands.
 *
 * @param region index of the region
 * @param zone index of the zone, unique over all regions
 */
public record Location(int region, int zone) {}
