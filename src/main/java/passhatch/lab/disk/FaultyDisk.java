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
    private static final class Content {
        byte[] sure = {};

        /** Writes and cuts since the last force, by their place; a cut has no bytes. */
        final List<Change> unsure = new ArrayList<>();

        byte[] now() {
            byte[] all = sure;
            for (Change c : unsure) {
                all = c.applied(all, c.bytes.length);
            }
            return all;
        }
    }

    /** A write at a place, or a cut down to it. */
    private record Change(int at, byte[] bytes, boolean cut) {
        byte[] applied(byte[] to, int length) {
            if (cut) {
                return Arrays.copyOf(to, Math.min(to.length, at));
            }
            byte[] all = Arrays.copyOf(to, Math.max(to.length, at + length));
            System.arraycopy(bytes, 0, all, at, length);
            return all;
        }
    }

    /** A change of names: a file appears under a name, or none does. */
    private record Naming(String name, Content content) {}

    private final Map<String, Content> files = new TreeMap<>();
    private final Map<String, Content> sureNames = new TreeMap<>();

    /**
     * Changes of names that belong together, as a rename's two, since the last force of the folder.
     */
    private final List<List<Naming>> unsureNames = new ArrayList<>();

    private final long capacity;
    private long faultAt = -1;
    private Fault fault = Fault.NONE;
    private boolean forgetfulForce;
    private long calls;

    /** An empty disk that holds so many bytes. */
    public FaultyDisk(long capacity) {
        this.capacity = capacity;
    }

    /** What happens at the k-th call that changes something from now on, counted from 0. */
    public void faultAt(long k, Fault what) {
        faultAt = calls + k;
        fault = what;
    }

    /** Calls that changed something so far. */
    public long calls() {
        return calls;
    }

    /**
     * Whether forcing does nothing though it says so: to see that a test would notice one left out.
     */
    public void forgetfulForce(boolean on) {
        forgetfulForce = on;
    }

    /** What is there after the power was lost: another disk, by the draws of a stream. */
    public FaultyDisk afterPowerLoss(UniformRandomProvider random) {
        Map<String, Content> names = new HashMap<>(sureNames);
        int kept = random.nextInt(unsureNames.size() + 1);
        for (List<Naming> change : unsureNames.subList(0, kept)) {
            for (Naming n : change) {
                if (n.content() == null) {
                    names.remove(n.name());
                } else {
                    names.put(n.name(), n.content());
                }
            }
        }
        FaultyDisk left = new FaultyDisk(capacity);
        names.forEach((name, content) -> left.put(name, survivor(content, random)));
        return left;
    }

    private static byte[] survivor(Content content, UniformRandomProvider random) {
        byte[] all = content.sure;
        int way = random.nextInt(4);
        for (Change c : content.unsure) {
            // All of them, none, or each by itself: with the last alone the ends would hardly ever
            // be seen.
            boolean survives = way == 0 || way != 1 && random.nextBoolean();
            if (survives) {
                int length =
                        way >= 2 && random.nextBoolean()
                                ? random.nextInt(c.bytes.length + 1)
                                : c.bytes.length;
                all = c.applied(all, length);
            }
        }
        return all;
    }

    private void put(String name, byte[] bytes) {
        Content content = new Content();
        content.sure = bytes;
        files.put(name, content);
        sureNames.put(name, content);
    }

    /** Another disk with all that is there now, as if it had been forced. */
    public FaultyDisk copy() {
        FaultyDisk copy = new FaultyDisk(capacity);
        files.forEach((name, content) -> copy.put(name, content.now().clone()));
        return copy;
    }

    /** Flips one bit of a file. */
    public void flip(String name, int at, int bit) {
        byte[] bytes = files.get(name).now().clone();
        bytes[at] ^= (byte) (1 << bit);
        put(name, bytes);
    }

    /** Puts any bytes in the place of a file. */
    public void overwrite(String name, byte[] bytes) {
        put(name, bytes.clone());
    }

    // ---- the disk

    /** The body of a call. */
    private interface Body {
        void run() throws IOException;
    }

    private void call(Body body) throws IOException {
        Fault now = calls++ == faultAt ? fault : Fault.NONE;
        if (now == Fault.STOP_BEFORE) {
            throw new Stopped();
        }
        if (now == Fault.ERROR) {
            throw new IOException("Input/output error");
        }
        body.run();
        if (now == Fault.STOP_AFTER) {
            throw new Stopped();
        }
        if (now == Fault.TORN_ERROR) {
            throw new IOException("Input/output error");
        }
    }

    private Content file(String name) throws IOException {
        Content content = files.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content;
    }

    @Override
    public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public long size(String name) throws IOException {
        return file(name).now().length;
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        byte[] now = file(name).now();
        if (now.length > most) {
            throw new IOException(
                    name + " has " + now.length + " bytes, and at most " + most + " are read");
        }
        return now.clone();
    }

    @Override
    public void create(String name) throws IOException {
        call(
                () -> {
                    if (files.containsKey(name)) {
                        throw new FileAlreadyExistsException(name);
                    }
                    Content content = new Content();
                    files.put(name, content);
                    unsureNames.add(List.of(new Naming(name, content)));
                });
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws IOException {
        boolean torn = fault == Fault.TORN_ERROR && calls == faultAt;
        call(
                () -> {
                    Content content = file(name);
                    byte[] all = new byte[bytes.remaining()];
                    bytes.get(all);
                    long used = files.values().stream().mapToLong(c -> c.now().length).sum();
                    int fits = (int) Math.min(all.length, capacity - used);
                    int written = torn ? fits / 2 : fits;
                    content.unsure.add(
                            new Change(content.now().length, Arrays.copyOf(all, written), false));
                    if (fits < all.length) {
                        throw new IOException("No space left on device");
                    }
                });
    }

    @Override
    public void force(String name) throws IOException {
        call(
                () -> {
                    Content content = file(name);
                    if (!forgetfulForce) {
                        content.sure = content.now();
                        content.unsure.clear();
                    }
                });
    }

    @Override
    public void forceFolder() throws IOException {
        call(
                () -> {
                    if (!forgetfulForce) {
                        sureNames.clear();
                        sureNames.putAll(files);
                        unsureNames.clear();
                    }
                });
    }

    @Override
    public void rename(String from, String to) throws IOException {
        call(
                () -> {
                    Content content = file(from);
                    files.remove(from);
                    files.put(to, content);
                    unsureNames.add(List.of(new Naming(from, null), new Naming(to, content)));
                });
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        call(() -> file(name).unsure.add(new Change((int) size, new byte[0], true)));
    }

    @Override
    public void delete(String name) throws IOException {
        call(
                () -> {
                    file(name);
                    files.remove(name);
                    unsureNames.add(List.of(new Naming(name, null)));
                });
    }

    @Override
    public void close() {
        // What was written and not forced stays as unsure as it was.
    }
}
