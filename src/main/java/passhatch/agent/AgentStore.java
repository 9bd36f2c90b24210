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
 * The durable state of this machine's agent: the latest epoch that it has used, and its promises as
 * a voter.
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
     * @throws StoreException if the store is damaged, in use by another process or owned by another
     *     name, or if the disk fails
     */
    AgentStore(Path folder, String owner) throws IOException, StoreException {
        FolderDisk disk = FolderDisk.open(folder);
        try {
            recordLog = RecordLog.open(disk, owner, this::replay);
            // The store's own epoch counts as well. So the new epoch is greater than all used
            // before, even if a salvage lost the record of the last one.
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

    /** Returns the epoch of this start, or a greater one that was made durable since then. */
    long epoch() {
        return epoch;
    }

    /** Returns the warnings that opening the store gave. */
    List<String> warnings() {
        return recordLog.warnings();
    }

    /** Returns the last promise for each duty. */
    Collection<Promise> promises() {
        return promises.values();
    }

    /** Makes a new epoch durable, which must be greater than the current one. */
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
