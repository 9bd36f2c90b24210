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
 * A disk in memory that loses what was not forced. At a power loss each write that was not forced
 * survives or not, whole or torn at any byte, in any order; of the changes of names that were not
 * forced a first part survives, as a file system's journal keeps them in order. It can stop the
 * process at any call, fail a call with an error, run full, and flip bits.
 */
public final class FaultyDisk implements Disk {

    /** The process stops here: nothing that it holds in memory counts any more. */
    public static final class Stopped extends Error {
        private static final long serialVersionUID = 1L;

        private Stopped() {
            super("stopped at a call of the disk", null, false, false);
        }
    }

    /** What happens at a chosen call. */
    public enum Fault {
        NONE,
        STOP_BEFORE,
        STOP_AFTER,
        ERROR,
        TORN_ERROR
    }

    /** A file's bytes, with those that are on disk for sure apart from writes that are not. */
    private static final class FileState {
        byte[] durableBytes = {};

        /** Writes and cuts since the last force, by their place; a cut has no bytes. */
        final List<ContentChange> unforcedChanges = new ArrayList<>();

        byte[] currentBytes() {
            byte[] bytes = durableBytes;
            for (ContentChange change : unforcedChanges) {
                bytes = change.applyTo(bytes, change.bytes.length);
            }
            return bytes;
        }
    }

    /** A write at a place, or a cut down to it. */
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

    /** A change of names: a file appears under a name, or none does. */
    private record NameChange(String name, FileState file) {}

    private final Map<String, FileState> files = new TreeMap<>();
    private final Map<String, FileState> durableNames = new TreeMap<>();

    /**
     * Changes of names that belong together, as a rename's two, since the last force of the folder.
     */
    private final List<List<NameChange>> unforcedNameChanges = new ArrayList<>();

    private final long capacity;
    private long faultCall = -1;
    private Fault fault = Fault.NONE;
    private boolean ignoreForce;
    private long changingCalls;

    /** An empty disk that holds so many bytes. */
    public FaultyDisk(long capacity) {
        this.capacity = capacity;
    }

    /** What happens at the k-th call that changes something from now on, counted from 0. */
    public void injectFaultAt(long callIndex, Fault newFault) {
        faultCall = changingCalls + callIndex;
        fault = newFault;
    }

    /** Calls that changed something so far. */
    public long changingCalls() {
        return changingCalls;
    }

    /**
     * Whether forcing does nothing though it says so: to see that a test would notice one left out.
     */
    public void ignoreForce(boolean ignore) {
        ignoreForce = ignore;
    }

    /** What is there after the power was lost: another disk, by the draws of a stream. */
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
        FaultyDisk survivor = new FaultyDisk(capacity);
        names.forEach((name, file) -> survivor.putDurable(name, survivingBytes(file, random)));
        return survivor;
    }

    private static byte[] survivingBytes(FileState file, UniformRandomProvider random) {
        byte[] bytes = file.durableBytes;
        int mode = random.nextInt(4);
        for (ContentChange change : file.unforcedChanges) {
            // All of them, none, or each by itself: with the last alone the ends would hardly ever
            // be seen.
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

    /** Another disk with all that is there now, as if it had been forced. */
    public FaultyDisk copy() {
        FaultyDisk copy = new FaultyDisk(capacity);
        files.forEach((name, file) -> copy.putDurable(name, file.currentBytes().clone()));
        return copy;
    }

    /** Flips one bit of a file. */
    public void flipBit(String name, int offset, int bit) {
        byte[] bytes = files.get(name).currentBytes().clone();
        bytes[offset] ^= (byte) (1 << bit);
        putDurable(name, bytes);
    }

    /** Puts any bytes in the place of a file. */
    public void overwrite(String name, byte[] bytes) {
        putDurable(name, bytes.clone());
    }

    // ---- the disk

    /** The body of a call. */
    private interface Operation {
        void run() throws IOException;
    }

    private void runWithFault(Operation operation) throws IOException {
        Fault current = changingCalls++ == faultCall ? fault : Fault.NONE;
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

    private FileState file(String name) throws IOException {
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
        return file(name).currentBytes().length;
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        byte[] bytes = file(name).currentBytes();
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
        boolean torn = fault == Fault.TORN_ERROR && changingCalls == faultCall;
        runWithFault(
                () -> {
                    FileState file = file(name);
                    byte[] appended = new byte[bytes.remaining()];
                    bytes.get(appended);
                    long used =
                            files.values().stream()
                                    .mapToLong(other -> other.currentBytes().length)
                                    .sum();
                    int fitting = (int) Math.min(appended.length, capacity - used);
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
                    FileState file = file(name);
                    if (!ignoreForce) {
                        file.durableBytes = file.currentBytes();
                        file.unforcedChanges.clear();
                    }
                });
    }

    @Override
    public void forceFolder() throws IOException {
        runWithFault(
                () -> {
                    if (!ignoreForce) {
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
                    FileState file = file(from);
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
                        file(name)
                                .unforcedChanges
                                .add(new ContentChange((int) size, new byte[0], true)));
    }

    @Override
    public void delete(String name) throws IOException {
        runWithFault(
                () -> {
                    file(name);
                    files.remove(name);
                    unforcedNameChanges.add(List.of(new NameChange(name, null)));
                });
    }

    @Override
    public void close() {
        // What was written and not forced stays as unsure as it was.
    }
}
