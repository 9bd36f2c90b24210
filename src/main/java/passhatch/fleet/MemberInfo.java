package passhatch.fleet;

/**
 * A member as this process sees it.
 *
 * @param sinceUs when its status became this; {@link Membership#ageUs} says how long ago that is
 * @param addressIndex place in the list of addresses from which it was last heard, or where it is
 *     looked for; -1 where none is known
 */
public record MemberInfo(
        String name,
        Status status,
        Incarnation incarnation,
        String version,
        String roles,
        long sinceUs,
        int addressIndex) {}
