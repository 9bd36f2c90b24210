package passhatch.fleet;

/**
 * A member as this process sees it.
 *
 * @param statusSinceUs time at which the member took its status; {@link Membership#statusAgeUs}
 *     returns how long ago that was
 * @param addressIndex index of the member's address in the address list: the address that its last
 *     datagram came from, or if none was received, the index that the member itself announces; -1
 *     if neither is known
 */
public record MemberInfo(
        String name,
        Status status,
        Incarnation incarnation,
        String version,
        String roles,
        long statusSinceUs,
        int addressIndex) {}
