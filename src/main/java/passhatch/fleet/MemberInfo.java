package passhatch.fleet;

/**
 * A member as this process sees it.
 *
 * @param statusSinceUs when it took its status; {@link Membership#statusAgeUs} returns how long ago
 *     that is
 * @param addressIndex index in the address list from which it was last received, or else where its
 *     own list places it; -1 if none is known
 */
public record MemberInfo(
        String name,
        Status status,
        Incarnation incarnation,
        String version,
        String roles,
        long statusSinceUs,
        int addressIndex) {}
