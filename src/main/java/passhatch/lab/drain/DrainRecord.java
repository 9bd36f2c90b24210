package passhatch.lab.drain;

import java.util.ArrayList;
import java.util.List;

/**
 * What discovery, the platform and the backends wrote down of one run, each by its own account. All
 * times are microseconds of one clock. Entries of each kind are in the order of their times, but
 * calls.
 */
public final class DrainRecord {

    /**
     * The settings that the rule depends on.
     *
     * @param pushed whether lists are pushed to the proxies; else discovery is asked for them
     * @param graceUs how long a server may still be sent requests once a proxy is told that it
     *     drains or is gone
     * @param askEveryUs for how long a proxy without a watch is held to the list it has
     */
    public record Rules(boolean pushed, long graceUs, long askEveryUs) {}

    /** Discovery's list has a new version, in which one server may be used or may not. */
    public record Change(long atUs, long version, String server, boolean up) {}

    /** Discovery could not be reached. */
    public record Outage(long fromUs, long untilUs) {}

    /** All changes up to a version were written to a proxy, arrived or not. */
    public record WrittenVersion(long atUs, String proxy, long version) {}

    /**
     * A proxy's call to discovery.
     *
     * @param startedUs when it was made
     * @param responseUs when an answer was begun; {@link #NEVER} where none was
     * @param silentUs when its watch fell silent; {@link #NEVER} where it did not
     * @param endedUs when it was over for either side; {@link #NEVER} while it stands
     * @param failed whether it was refused or turned away
     */
    public record Call(
            String proxy,
            long startedUs,
            long responseUs,
            long silentUs,
            long endedUs,
            boolean failed) {}

    /** A proxy was signalled that discovery is found at another address. */
    public record AddressChange(long atUs, String proxy) {}

    /** The first byte of a request was sent to a server. */
    public record Send(long atUs, String proxy, String server) {}

    /** As the time of what has not happened. */
    public static final long NEVER = Long.MAX_VALUE;

    final Rules rules;
    final List<Change> changes = new ArrayList<>();
    final List<Outage> outages = new ArrayList<>();
    final List<WrittenVersion> writtenVersions = new ArrayList<>();
    final List<Call> calls = new ArrayList<>();
    final List<AddressChange> addressChanges = new ArrayList<>();
    final List<Send> sends = new ArrayList<>();

    /** An empty record. */
    public DrainRecord(Rules rules) {
        this.rules = rules;
    }

    /** Adds what discovery's list says of a server from a version on. */
    public void add(Change change) {
        changes.add(change);
    }

    /** Adds a time in which discovery could not be reached. */
    public void add(Outage outage) {
        outages.add(outage);
    }

    /** Adds what was written to a proxy. */
    public void add(WrittenVersion one) {
        writtenVersions.add(one);
    }

    /** Adds a call; to be added once its end is known. */
    public void add(Call call) {
        calls.add(call);
    }

    /** Adds a signal. */
    public void add(AddressChange move) {
        addressChanges.add(move);
    }

    /** Adds a request. */
    public void add(Send send) {
        sends.add(send);
    }
}
