package passhatch.fleet;

/**
 * A member as this process sees it.
 *
 * @param statusSinceUs time at which the member took its status; {@link Membership#statusAgeUs}
 *     returns how long ago that was
 * @param addressIndex index of the member's address in the address list. This is the address from
 *     which the member's last datagram was received or, if none was received, the address that the
 *     member announces; -1 if neither is known
 */
public record MemberInfo(
        String name,
        Status status,
        Incarnation incarnation,
        String version,
        String roles,
        long statusSinceUs,
        int addressIndex) {}
