package passhatch.agent;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import passhatch.duty.Promise;
import passhatch.store.Entry;
import passhatch.store.FolderDisk;
import passhatch.store.RecordLog;
import passhatch.store.StoreException;

/**
 * The durable state of this machine's agent: the latest epoch that the agent has used, and the
 * promises that it has made as a voter on duties.
 */
final class AgentStore implements AutoCloseable {

    /** Kind of a record that holds an epoch, as eight bytes. */
    private static final int EPOCH_RECORD = 1;

    /** Kind of a record that holds a promise, as JSON. */
    private static final int PROMISE_RECORD = 2;

    private final RecordLog recordLog;
    private final Map<String, Promise> promises = new HashMap<>();
    private long epoch;

    /**
     * Opens the store of a process and makes the next epoch durable.
     *
     * @throws StoreException if the store is damaged, if another process uses it, if it belongs to
     *     a process with another name, or if the disk fails
     */
    AgentStore(Path folder, String owner) throws IOException, StoreException {
        FolderDisk disk = FolderDisk.open(folder);
        try {
            recordLog = RecordLog.open(disk, owner, this::replay);
            // The record log counts its openings as an epoch of its own. The greater of the two
            // numbers is used, so that the new epoch is greater than all used before, even if the
            // record of the last one was lost when a damaged log was salvaged.
            epoch = Math.max(epoch + 1, recordLog.epoch());
            // Written as a snapshot so that the log does not grow with each start.
            List<Entry> state = new ArrayList<>(List.of(toEntry(epoch)));
            promises.values().forEach(promise -> state.add(toEntry(promise)));
            recordLog.writeSnapshot(state);
        } catch (StoreException failed) {
            disk.close();
            throw failed;
        }
    }

    private void replay(Entry entry) {
        if (entry.kind() == EPOCH_RECORD) {
            epoch = Math.max(epoch, ByteBuffer.wrap(entry.bytes()).getLong());
        } else if (entry.kind() == PROMISE_RECORD) {
            try {
                Map<String, Object> fields = JSON.std.mapFrom(entry.bytes());
                Promise promise =
                        new Promise(
                                (String) fields.get("duty"),
                                ((Number) fields.get("term")).longValue(),
                                (String) fields.get("holder"));
                promises.put(promise.duty(), promise);
            } catch (IOException unreadable) {
                // The checksum matches, so the record was written by this program in another
                // format.
                throw new IllegalStateException(unreadable);
            }
        }
    }

    private static Entry toEntry(long epoch) {
        return new Entry(EPOCH_RECORD, ByteBuffer.allocate(Long.BYTES).putLong(epoch).array());
    }

    private static Entry toEntry(Promise promise) {
        try {
            return new Entry(
                    PROMISE_RECORD,
                    JSON.std.asBytes(
                            Map.of(
                                    "duty",
                                    promise.duty(),
                                    "term",
                                    promise.term(),
                                    "holder",
                                    promise.holder())));
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Returns the epoch that this process uses: the one of its start, or a greater one that was
     * made durable since then.
     */
    long epoch() {
        return epoch;
    }

    /** Returns the warnings for the operator that arose when the store was opened. */
    List<String> warnings() {
        return recordLog.warnings();
    }

    /** Returns the last promise that this voter has made for each duty. */
    Collection<Promise> promises() {
        return promises.values();
    }

    /** Makes a new epoch durable. The new epoch must be greater than the current one. */
    void persistEpoch(long newEpoch) throws StoreException {
        recordLog.append(List.of(toEntry(newEpoch)));
        epoch = newEpoch;
    }

    /** Makes a promise durable. */
    void persistPromise(Promise promise) throws StoreException {
        recordLog.append(List.of(toEntry(promise)));
        promises.put(promise.duty(), promise);
    }

    @Override
    public void close() throws StoreException {
        recordLog.close();
    }
}
