package passhatch.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads a store of any owner, and copies its readable records to another folder. */
public final class Inspection {

    private static final int RECORDS_PER_BATCH = 64;

    /**
     * What was found in the folder of a store.
     *
     * @param records number of valid records
     * @param lastSequence sequence number of the last valid record; 0 if there is none
     * @param epoch highest epoch in the headers
     * @param warnings descriptions of incomplete data at the end of the log; such data was never
     *     acknowledged, so it does not count as damage
     * @param damage descriptions of faults in data that may have been acknowledged; empty if there
     *     are none
     */
    public record Report(
            long records,
            long lastSequence,
            long epoch,
            List<String> warnings,
            List<String> damage) {}

    private Inspection() {}

    /**
     * Reads all readable records, including those after damage, and passes them to a consumer. The
     * store is not changed.
     */
    public static Report inspect(Disk disk, Consumer<Entry> consumer) throws StoreException {
        long[] records = {0};
        try {
            Reader.Contents contents =
                    new Reader(
                                    disk,
                                    null,
                                    true,
                                    entry -> {
                                        records[0]++;
                                        consumer.accept(entry);
                                    })
                            .read();
            List<String> warnings = new ArrayList<>();
            List<String> damage = new ArrayList<>();
            for (Reader.Fault fault : contents.faults()) {
                (fault.maybeAcknowledged() ? damage : warnings).add(fault.describe());
            }
            return new Report(
                    records[0], contents.lastSequence(), contents.epoch(), warnings, damage);
        } catch (IOException failed) {
            throw new StoreException.Failed(
                    "the store cannot be read: " + failed.getMessage(), failed);
        }
    }

    /**
     * Copies all readable records into an empty folder, as a store of the given owner.
     *
     * @return what was found in the damaged store
     */
    public static Report salvage(Disk from, Disk to, String owner) throws StoreException {
        List<Entry> batch = new ArrayList<>();
        StoreException[] failed = {null};
        try (RecordLog log =
                RecordLog.open(
                        to,
                        owner,
                        entry -> {
                            throw new IllegalArgumentException(
                                    "the target folder of the salvage is not empty");
                        })) {
            Report report =
                    inspect(
                            from,
                            entry -> {
                                batch.add(entry);
                                if (batch.size() == RECORDS_PER_BATCH) {
                                    failed[0] = writeBatch(log, batch, failed[0]);
                                }
                            });
            failed[0] = writeBatch(log, batch, failed[0]);
            if (failed[0] != null) {
                throw failed[0];
            }
            return report;
        }
    }

    private static StoreException writeBatch(
            RecordLog log, List<Entry> batch, StoreException earlierFailure) {
        if (earlierFailure != null || batch.isEmpty()) {
            return earlierFailure;
        }
        try {
            log.append(batch);
            batch.clear();
            return null;
        } catch (StoreException failed) {
            return failed;
        }
    }
}
