package passhatch.proxy;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;

/**
 * The ids of requests that must not run twice and that an attempt has claimed. A client that has
 * left may come back with the same id, at this process or at another process of the same proxy, so
 * a claim outlasts its request, and the table may be shared through a file.
 *
 * <p>The table has a fixed size. An id has its place in one of {@value #SLOTS_PER_BUCKET} slots,
 * and if claims that have not expired occupy all of them, further claims are rejected. Times are
 * microseconds of a clock that all processes share, such as {@link System#nanoTime}.
 */
final class ClaimedIds {

    /** How long a claim lasts after its request has ended, in microseconds. */
    static final long RETENTION_US = TimeUnit.SECONDS.toMicros(30);

    private static final int SLOTS_PER_BUCKET = 16;
    private static final int BUCKETS = 1 << 10;
    private static final int SLOT_BYTES = 2 * Long.BYTES;
    private static final int TABLE_BYTES = BUCKETS * SLOTS_PER_BUCKET * SLOT_BYTES;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final VarHandle LONGS =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    /** Slots of a key, which is the hash of an id or 0, and the time at which its claim expires. */
    private final ByteBuffer table;

    /** The result of a claim. */
    enum Claim {
        /** The id is claimed from now on. */
        CLAIMED,

        /** The id was claimed before, so its request may have run. */
        CLAIMED_BEFORE,

        /** There is no place for another claim. */
        FULL
    }

    private ClaimedIds(ByteBuffer table) {
        this.table = table;
    }

    /** Returns an empty table of this process alone. */
    static ClaimedIds ofThisProcess() {
        return new ClaimedIds(ByteBuffer.allocateDirect(TABLE_BYTES));
    }

    /**
     * Returns the table in a file, which all processes that open the file share. The whole file is
     * allocated here, so that no later access can fail.
     */
    static ClaimedIds shared(Path file) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            ByteBuffer zeros = ByteBuffer.allocate((int) Math.max(0, TABLE_BYTES - channel.size()));
            for (long at = channel.size(); zeros.hasRemaining(); ) {
                at += channel.write(zeros, at);
            }
            return new ClaimedIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, TABLE_BYTES));
        }
    }

    /** Returns whether an id is claimed. */
    boolean contains(String id, long nowUs) {
        return slotOf(hash(id), nowUs) >= 0;
    }

    /** Claims an id until a time, unless it is claimed already. */
    Claim claim(String id, long nowUs, long untilUs) {
        long hash = hash(id);
        while (true) {
            if (slotOf(hash, nowUs) >= 0) {
                return Claim.CLAIMED_BEFORE;
            }
            int free = freeSlot(hash, nowUs);
            if (free < 0) {
                return Claim.FULL;
            }
            if (LONGS.compareAndSet(table, free, (long) LONGS.getVolatile(table, free), hash)) {
                setExpiry(free, untilUs);
                return Claim.CLAIMED;
            }
        }
    }

    /** Changes the time until which an id is claimed; has no effect if it is not claimed. */
    void claimUntil(String id, long nowUs, long untilUs) {
        int slot = slotOf(hash(id), nowUs);
        if (slot >= 0) {
            setExpiry(slot, untilUs);
        }
    }

    /** Returns the offset of the slot that holds a hash, or -1 if it is not claimed. */
    private int slotOf(long hash, long nowUs) {
        int bucket = bucketOf(hash);
        for (int i = 0; i < SLOTS_PER_BUCKET; i++) {
            int slot = bucket + i * SLOT_BYTES;
            if ((long) LONGS.getVolatile(table, slot) == hash && expiry(slot) > nowUs) {
                return slot;
            }
        }
        return -1;
    }

    private int freeSlot(long hash, long nowUs) {
        int bucket = bucketOf(hash);
        for (int i = 0; i < SLOTS_PER_BUCKET; i++) {
            int slot = bucket + i * SLOT_BYTES;
            if ((long) LONGS.getVolatile(table, slot) == 0 || expiry(slot) <= nowUs) {
                return slot;
            }
        }
        return -1;
    }

    private long expiry(int slot) {
        return (long) LONGS.getVolatile(table, slot + Long.BYTES);
    }

    private void setExpiry(int slot, long untilUs) {
        LONGS.setVolatile(table, slot + Long.BYTES, untilUs);
    }

    private static int bucketOf(long hash) {
        int bucket = (int) (hash ^ hash >>> 32) & (BUCKETS - 1);
        return bucket * SLOTS_PER_BUCKET * SLOT_BYTES;
    }

    /** Returns a hash of an id, which is never 0. */
    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }
}
