package passhatch.lab.disk;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.FileAlreadyExistsException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.store.Disk;

/**
 * An in-memory disk that can lose data that was not forced. At a power loss each unforced write
 * survives or is lost, regardless of order, and a surviving write may be torn at any byte. Unforced
 * changes of file names survive up to some point in their order, as a file system's journal keeps
 * them in order. The disk can also stop the process at any call, fail a call with an error, run
 * full and flip bits.
 */
public final class FaultyDisk implements Disk {

    /** Thrown to simulate that the process stops and loses its memory. */
    public static final class Stopped extends Error {
        private static final long serialVersionUID = 1L;

        private Stopped() {
            super("stopped at a disk operation", null, false, false);
        }
    }

    /** Fault that is injected at a chosen call. */
    public enum Fault {
        NONE,
        STOP_BEFORE,
        STOP_AFTER,
        ERROR,
        TORN_ERROR
    }

    /** A file's durable bytes and its changes that were not forced yet. */
    private static final class FileState {
        byte[] durableBytes = {};

        /** Writes and truncations since the last force, in order; a truncation has no bytes. */
        final List<ContentChange> unforcedChanges = new ArrayList<>();

        byte[] currentBytes() {
            byte[] bytes = durableBytes;
            for (ContentChange change : unforcedChanges) {
                bytes = change.applyTo(bytes, change.bytes.length);
            }
            return bytes;
        }
    }

    /** A write at an offset, or a truncation to the size given by the offset. */
    private record ContentChange(int offset, byte[] bytes, boolean truncates) {
        byte[] applyTo(byte[] contents, int length) {
            if (truncates) {
                return Arrays.copyOf(contents, Math.min(contents.length, offset));
            }
            byte[] changed = Arrays.copyOf(contents, Math.max(contents.length, offset + length));
            System.arraycopy(bytes, 0, changed, offset, length);
            return changed;
        }
    }

    /**
     * A change of a name: {@code file} is the file that the name refers to after the change, or
     * null if the change removes the name.
     */
    private record NameChange(String name, FileState file) {}

    private final Map<String, FileState> files = new TreeMap<>();
    private final Map<String, FileState> durableNames = new TreeMap<>();

    /**
     * Changes of names since the last force of the folder. The changes of one operation are
     * grouped, such as the two changes of a rename.
     */
    private final List<List<NameChange>> unforcedNameChanges = new ArrayList<>();

    private final long capacityBytes;
    private long faultCallIndex = -1;
    private Fault fault = Fault.NONE;
    private boolean forceIgnored;
    private long changingCallCount;

    /** Creates an empty disk with a capacity in bytes. */
    public FaultyDisk(long capacity) {
        this.capacityBytes = capacity;
    }

    /**
     * Injects a fault at a later call that changes the disk. The index counts such calls from now
     * on; 0 is the next one.
     */
    public void injectFaultAt(long callIndex, Fault newFault) {
        faultCallIndex = changingCallCount + callIndex;
        fault = newFault;
    }

    /**
     * Returns the number of calls so far of operations that change the disk, including calls that
     * failed.
     */
    public long changingCallCount() {
        return changingCallCount;
    }

    /**
     * Sets whether forces are ignored: an ignored force reports success but has no effect. This
     * serves to check that a test notices a missing force.
     */
    public void ignoreForce(boolean ignore) {
        forceIgnored = ignore;
    }

    /**
     * Returns a new disk with the contents of this disk that survive a power loss. The unforced
     * changes that survive are chosen at random.
     */
    public FaultyDisk afterPowerLoss(UniformRandomProvider random) {
        Map<String, FileState> names = new HashMap<>(durableNames);
        int survivingChanges = random.nextInt(unforcedNameChanges.size() + 1);
        for (List<NameChange> change : unforcedNameChanges.subList(0, survivingChanges)) {
            for (NameChange nameChange : change) {
                if (nameChange.file() == null) {
                    names.remove(nameChange.name());
                } else {
                    names.put(nameChange.name(), nameChange.file());
                }
            }
        }
        FaultyDisk survivor = new FaultyDisk(capacityBytes);
        names.forEach((name, file) -> survivor.putDurable(name, survivingBytes(file, random)));
        return survivor;
    }

    private static byte[] survivingBytes(FileState file, UniformRandomProvider random) {
        byte[] bytes = file.durableBytes;
        int mode = random.nextInt(4);
        for (ContentChange change : file.unforcedChanges) {
            // Either all changes survive, or none, or each is drawn separately: separate draws
            // alone would hardly ever let all or none survive.
            boolean survives = mode == 0 || mode != 1 && random.nextBoolean();
            if (survives) {
                int length =
                        mode >= 2 && random.nextBoolean()
                                ? random.nextInt(change.bytes.length + 1)
                                : change.bytes.length;
                bytes = change.applyTo(bytes, length);
            }
        }
        return bytes;
    }

    private void putDurable(String name, byte[] bytes) {
        FileState file = new FileState();
        file.durableBytes = bytes;
        files.put(name, file);
        durableNames.put(name, file);
    }

    /**
     * Returns a new disk with the current contents of this disk, as if all changes had been forced.
     */
    public FaultyDisk copy() {
        FaultyDisk copy = new FaultyDisk(capacityBytes);
        files.forEach((name, file) -> copy.putDurable(name, file.currentBytes().clone()));
        return copy;
    }

    /** Flips one bit of a file. */
    public void flipBit(String name, int offset, int bit) {
        byte[] bytes = files.get(name).currentBytes().clone();
        bytes[offset] ^= (byte) (1 << bit);
        putDurable(name, bytes);
    }

    /** Replaces the contents of a file with the given bytes, which are durable at once. */
    public void overwrite(String name, byte[] bytes) {
        putDurable(name, bytes.clone());
    }

    // ---- the disk

    /** An operation that changes the disk. */
    private interface Operation {
        void run() throws IOException;
    }

    private void runWithFault(Operation operation) throws IOException {
        Fault current = changingCallCount++ == faultCallIndex ? fault : Fault.NONE;
        if (current == Fault.STOP_BEFORE) {
            throw new Stopped();
        }
        if (current == Fault.ERROR) {
            throw new IOException("Input/output error");
        }
        operation.run();
        if (current == Fault.STOP_AFTER) {
            throw new Stopped();
        }
        if (current == Fault.TORN_ERROR) {
            throw new IOException("Input/output error");
        }
    }

    private FileState findFile(String name) throws IOException {
        FileState file = files.get(name);
        if (file == null) {
            throw new FileNotFoundException(name);
        }
        return file;
    }

    @Override
    public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public long size(String name) throws IOException {
        return findFile(name).currentBytes().length;
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        byte[] bytes = findFile(name).currentBytes();
        if (bytes.length > maxBytes) {
            throw new IOException(
                    name
                            + " has "
                            + bytes.length
                            + " bytes, and at most "
                            + maxBytes
                            + " are read");
        }
        return bytes.clone();
    }

    @Override
    public void create(String name) throws IOException {
        runWithFault(
                () -> {
                    if (files.containsKey(name)) {
                        throw new FileAlreadyExistsException(name);
                    }
                    FileState file = new FileState();
                    files.put(name, file);
                    unforcedNameChanges.add(List.of(new NameChange(name, file)));
                });
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws IOException {
        boolean torn = fault == Fault.TORN_ERROR && changingCallCount == faultCallIndex;
        runWithFault(
                () -> {
                    FileState file = findFile(name);
                    byte[] appended = new byte[bytes.remaining()];
                    bytes.get(appended);
                    long used =
                            files.values().stream()
                                    .mapToLong(other -> other.currentBytes().length)
                                    .sum();
                    int fitting = (int) Math.min(appended.length, capacityBytes - used);
                    int written = torn ? fitting / 2 : fitting;
                    file.unforcedChanges.add(
                            new ContentChange(
                                    file.currentBytes().length,
                                    Arrays.copyOf(appended, written),
                                    false));
                    if (fitting < appended.length) {
                        throw new IOException("No space left on device");
                    }
                });
    }

    @Override
    public void force(String name) throws IOException {
        runWithFault(
                () -> {
                    FileState file = findFile(name);
                    if (!forceIgnored) {
                        file.durableBytes = file.currentBytes();
                        file.unforcedChanges.clear();
                    }
                });
    }

    @Override
    public void forceFolder() throws IOException {
        runWithFault(
                () -> {
                    if (!forceIgnored) {
                        durableNames.clear();
                        durableNames.putAll(files);
                        unforcedNameChanges.clear();
                    }
                });
    }

    @Override
    public void rename(String from, String to) throws IOException {
        runWithFault(
                () -> {
                    FileState file = findFile(from);
                    files.remove(from);
                    files.put(to, file);
                    unforcedNameChanges.add(
                            List.of(new NameChange(from, null), new NameChange(to, file)));
                });
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        runWithFault(
                () ->
                        findFile(name)
                                .unforcedChanges
                                .add(new ContentChange((int) size, new byte[0], true)));
    }

    @Override
    public void delete(String name) throws IOException {
        runWithFault(
                () -> {
                    findFile(name);
                    files.remove(name);
                    unforcedNameChanges.add(List.of(new NameChange(name, null)));
                });
    }

    @Override
    public void close() {
        // Unforced changes remain unforced.
    }
}
