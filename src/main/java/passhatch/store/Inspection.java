package passhatch.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Looks at a store without its owner: reads all of it, and brings what can be read to another
 * folder.
 */
public final class Inspection {

    private static final int GROUP = 64;

    /**
     * What was found in a folder.
     *
     * @param records that are good
     * @param epoch the greatest that was found
     * @param notes of ends that were never acknowledged, which is no damage
     * @param damage of what may have been acknowledged; empty where all is good
     */
    public record Report(
            long records, long last, long epoch, List<String> notes, List<String> damage) {}

    private Inspection() {}

    /** Reads all that can be read, past any damage, and changes nothing. */
    public static Report inspect(Disk disk, Consumer<Entry> heard) throws StoreException {
        long[] records = {0};
        try {
            Reader.Found found =
                    new Reader(
                                    disk,
                                    null,
                                    true,
                                    entry -> {
                                        records[0]++;
                                        heard.accept(entry);
                                    })
                            .read();
            List<String> notes = new ArrayList<>();
            List<String> damage = new ArrayList<>();
            for (Reader.Fault fault : found.faults()) {
                (fault.acknowledged() ? damage : notes).add(fault.text());
            }
            return new Report(records[0], found.last(), found.epoch(), notes, damage);
        } catch (IOException failed) {
            throw new StoreException.Failed(
                    "the store cannot be read: " + failed.getMessage(), failed);
        }
    }

    /**
     * Copies what can be read into an empty folder, as a store of that owner.
     *
     * @return what was found in the damaged one
     */
    public static Report salvage(Disk from, Disk to, String owner) throws StoreException {
        List<Entry> group = new ArrayList<>();
        StoreException[] failed = {null};
        try (RecordLog log =
                RecordLog.open(
                        to,
                        owner,
                        entry -> {
                            throw new IllegalArgumentException(
                                    "the folder that is salvaged to is not empty");
                        })) {
            Report report =
                    inspect(
                            from,
                            entry -> {
                                group.add(entry);
                                if (group.size() == GROUP) {
                                    failed[0] = write(log, group, failed[0]);
                                }
                            });
            failed[0] = write(log, group, failed[0]);
            if (failed[0] != null) {
                throw failed[0];
            }
            return report;
        }
    }

    private static StoreException write(RecordLog log, List<Entry> group, StoreException before) {
        if (before != null || group.isEmpty()) {
            return before;
        }
        try {
            log.append(group);
            group.clear();
            return null;
        } catch (StoreException failed) {
            return failed;
        }
    }
}
