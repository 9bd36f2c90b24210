package passhatch.lab.drain;

import java.util.ArrayList;
import java.util.List;

/**
 * The events of one run as discovery, the platform and the backends recorded them independently of
 * each other. All times are microseconds of one clock. The entries of each type are in the order of
 * their times, except calls.
 */
public final class DrainRecord {

    /**
     * The settings on which the rule about draining servers depends.
     *
     * @param pushed whether lists are pushed to the proxies; otherwise proxies request them
     * @param graceUs how long a proxy may still send requests to a server after it is deemed
     *     notified that the server drains or is removed
     * @param askEveryUs how long a proxy without a watch may use the list it has
     */
    public record Rules(boolean pushed, long graceUs, long askEveryUs) {}

    /**
     * A change of one server in discovery's list, which gave the list a new version.
     *
     * @param up whether the server may be used from this version on
     */
    public record Change(long atUs, long version, String server, boolean up) {}

    /** A period in which discovery was unreachable. */
    public record Outage(long fromUs, long untilUs) {}

    /**
     * The time at which discovery had written all changes up to a version of its list to a proxy,
     * whether these changes arrived or not.
     */
    public record WrittenVersion(long atUs, String proxy, long version) {}

    /**
     * A proxy's call to discovery.
     *
     * @param startedUs when the call was started
     * @param responseUs when the response to the call began; {@link #NEVER} if there was none
     * @param silentFromUs time from which discovery wrote nothing on the open call; {@link #NEVER}
     *     if there is no such time
     * @param endedUs when either side ended the call; {@link #NEVER} while the call is open
     * @param failed whether the connection was refused or discovery rejected the call
     */
    public record Call(
            String proxy,
            long startedUs,
            long responseUs,
            long silentFromUs,
            long endedUs,
            boolean failed) {}

    /** A signal to a proxy that discovery has another address. */
    public record AddressChange(long atUs, String proxy) {}

    /** The sending of the first byte of a request to a server. */
    public record Send(long atUs, String proxy, String server) {}

    /** The time of an event that has not happened. */
    public static final long NEVER = Long.MAX_VALUE;

    final Rules rules;
    final List<Change> changes = new ArrayList<>();
    final List<Outage> outages = new ArrayList<>();
    final List<WrittenVersion> writtenVersions = new ArrayList<>();
    final List<Call> calls = new ArrayList<>();
    final List<AddressChange> addressChanges = new ArrayList<>();
    final List<Send> sends = new ArrayList<>();

    /** Creates an empty record. */
    public DrainRecord(Rules rules) {
        this.rules = rules;
    }

    /** Adds a change of discovery's list. */
    public void add(Change change) {
        changes.add(change);
    }

    /** Adds an outage of discovery. */
    public void add(Outage outage) {
        outages.add(outage);
    }

    /** Records that discovery wrote a version of its list to a proxy. */
    public void add(WrittenVersion written) {
        writtenVersions.add(written);
    }

    /** Adds a call to discovery. Called when the end of the call is known. */
    public void add(Call call) {
        calls.add(call);
    }

    /** Adds the signal of an address change. */
    public void add(AddressChange signal) {
        addressChanges.add(signal);
    }

    /** Adds a request that was sent. */
    public void add(Send send) {
        sends.add(send);
    }
}
