package passhatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import passhatch.lab.Seeds;
import passhatch.lab.disk.FaultyDisk;

/**
 * The cases of the table in docs/recovery.md that do not involve a crash, on a real folder where
 * that matters.
 */
class StoreTest {

    private static final long CAPACITY = 1L << 28;

    @TempDir private Path folder;

    private static Entry entry(String text) {
        return new Entry(3, text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<Entry> readEntries(Disk disk) throws StoreException {
        List<Entry> found = new ArrayList<>();
        RecordLog.open(disk, "me", found::add);
        return found;
    }

    private static void flip(Path file, long at) throws Exception {
        byte[] bytes = Files.readAllBytes(file);
        bytes[(int) at] ^= 4;
        Files.write(file, bytes);
    }

    @Test
    void realFolderKeepsRecordsSnapshotsAndEpochs() throws Exception {
        for (int i = 1; i <= 3; i++) {
            List<Entry> found = new ArrayList<>();
            try (RecordLog log = RecordLog.open(FolderDisk.open(folder), "me", found::add)) {
                assertEquals(i, log.epoch());
                assertEquals(i == 1 ? 0 : 2, found.size());
                log.append(List.of(entry("a" + i), entry("b" + i)));
                log.writeSnapshot(List.of(entry("s" + i)));
                log.append(List.of(entry("c" + i)));
            }
        }
        try (FolderDisk disk = FolderDisk.open(folder)) {
            assertEquals(List.of(entry("s3"), entry("c3")), readEntries(disk));
            assertEquals(
                    3,
                    disk.list().size(),
                    "a snapshot, its segment and the new one: " + disk.list());
        }
    }

    @Test
    void folderIsLockedForOneProcess() throws Exception {
        try (FolderDisk held = FolderDisk.open(folder)) {
            StoreException thrown =
                    assertThrows(StoreException.InUse.class, () -> FolderDisk.open(folder));
            assertTrue(
                    thrown.getMessage().contains("in use by another process"), thrown.getMessage());
            assertEquals(List.of(), held.list());
        }
        FolderDisk.open(folder).close();
    }

    @Test
    void foldersOfOtherOwnersAndNewerFormatsAreLeftUnchanged() throws Exception {
        FaultyDisk disk = new FaultyDisk(CAPACITY);
        RecordLog.open(disk, "you", e -> {}).append(List.of(entry("x")));
        List<String> before = disk.list();
        StoreException thrown = assertThrows(StoreException.Foreign.class, () -> readEntries(disk));
        assertTrue(
                thrown.getMessage().contains("belongs to 'you', not to 'me'"), thrown.getMessage());
        assertThrows(
                StoreException.Foreign.class, () -> RecordLog.openOrSetAside(disk, "me", e -> {}));
        assertEquals(before, disk.list());
        FaultyDisk newer = new FaultyDisk(CAPACITY);
        ByteBuffer header =
                Format.encodeHeader(new Format.Header(false, Format.VERSION + 1, "me", 1, 1));
        newer.overwrite(Format.segmentName(1), header.array());
        thrown = assertThrows(StoreException.Foreign.class, () -> readEntries(newer));
        assertTrue(thrown.getMessage().contains("format version 2"), thrown.getMessage());
    }

    /**
     * Damage in the middle: opening fails with file and byte offset, a rebuildable store is set
     * aside, and salvage saves the rest.
     */
    @Test
    void damageInTheMiddleIsReportedAndSalvaged() throws Exception {
        try (RecordLog log = RecordLog.open(FolderDisk.open(folder), "me", e -> {})) {
            for (int i = 0; i < 10; i++) {
                log.append(List.of(entry("record " + i)));
            }
        }
        Path segment = folder.resolve(Format.segmentName(1));
        flip(segment, Format.HEADER_BYTES + 150);
        try (FolderDisk disk = FolderDisk.open(folder)) {
            StoreException thrown =
                    assertThrows(StoreException.Damaged.class, () -> readEntries(disk));
            assertTrue(
                    thrown.getMessage()
                            .matches("segment-0{15}1, byte \\d+: record \\d+ does not check"),
                    thrown.getMessage());
            List<Entry> saved = new ArrayList<>();
            Inspection.Report report = Inspection.inspect(disk, saved::add);
            assertEquals(9, report.records());
            assertEquals(1, report.damage().size());
            try (FolderDisk to = FolderDisk.open(folder.resolve("to"))) {
                Inspection.salvage(disk, to, "me");
            }
            try (FolderDisk to = FolderDisk.open(folder.resolve("to"))) {
                assertEquals(saved, readEntries(to));
            }
            RecordLog rebuilt =
                    RecordLog.openOrSetAside(
                            disk,
                            "me",
                            e -> {
                                throw new AssertionError("nothing of it is believed");
                            });
            assertTrue(
                    rebuilt.warnings().toString().contains("set aside"),
                    rebuilt.warnings().toString());
            rebuilt.append(List.of(entry("new")));
            assertEquals(List.of(entry("new")), readEntries(disk));
        }
    }

    @Test
    void missingSegmentIsReportedAsDamage() throws Exception {
        FaultyDisk disk = new FaultyDisk(CAPACITY);
        for (int i = 0; i < 3; i++) {
            RecordLog.open(disk, "me", e -> {}).append(List.of(entry("x")));
        }
        disk.delete(Format.segmentName(2));
        StoreException thrown = assertThrows(StoreException.Damaged.class, () -> readEntries(disk));
        assertTrue(
                thrown.getMessage().contains("records 2 to 2 before it are missing"),
                thrown.getMessage());
    }

    @Test
    void tooLargeRecordsAreRejectedAndOthersAreWritten() throws Exception {
        FaultyDisk disk = new FaultyDisk(CAPACITY);
        RecordLog log = RecordLog.open(disk, "me", e -> {});
        Entry large = new Entry(1, new byte[Format.MAX_RECORD_BYTES + 1]);
        assertThrows(StoreException.TooLarge.class, () -> log.append(List.of(entry("a"), large)));
        assertThrows(StoreException.TooLarge.class, () -> log.writeSnapshot(List.of(large)));
        // Its kind is that of a mark: a snapshot that contains one could not be read again.
        Entry mark = new Entry(Format.MARK_KIND, new byte[0]);
        assertThrows(IllegalArgumentException.class, () -> log.append(List.of(mark)));
        assertThrows(IllegalArgumentException.class, () -> log.writeSnapshot(List.of(mark)));
        Entry largest = new Entry(1, new byte[Format.MAX_RECORD_BYTES]);
        long fits = Format.MAX_TOTAL_BYTES / Format.recordSize(largest.bytes());
        StoreException full =
                assertThrows(
                        StoreException.TooLarge.class,
                        () -> {
                            for (long i = 0; i <= fits; i++) {
                                log.append(List.of(largest));
                            }
                        });
        assertTrue(full.getMessage().contains("would hold over"), full.getMessage());
        assertTrue(log.isSnapshotDue());
        log.writeSnapshot(List.of(entry("s")));
        log.append(List.of(entry("b")));
        assertEquals(List.of(entry("s"), entry("b")), readEntries(disk));
    }

    @Test
    void threadsShareALogAndEachGetsItsOwnResult() throws Exception {
        FaultyDisk disk = new FaultyDisk(CAPACITY);
        try (GroupCommit group = new GroupCommit(RecordLog.open(disk, "me", e -> {}))) {
            List<CompletableFuture<Long>> all =
                    IntStream.range(0, 500)
                            .parallel()
                            .mapToObj(
                                    i -> {
                                        try {
                                            return group.submit(
                                                    i == 250
                                                            ? new Entry(
                                                                    1,
                                                                    new byte
                                                                            [Format.MAX_RECORD_BYTES
                                                                                    + 1])
                                                            : entry("r" + i));
                                        } catch (InterruptedException stop) {
                                            throw new IllegalStateException(stop);
                                        }
                                    })
                            .toList();
            long good = 0;
            for (CompletableFuture<Long> one : all) {
                try {
                    one.join();
                    good++;
                } catch (CompletionException tooLarge) {
                    assertTrue(
                            tooLarge.getCause() instanceof StoreException.TooLarge,
                            tooLarge.toString());
                }
            }
            assertEquals(499, good);
        }
        assertEquals(499, readEntries(disk).size());
    }

    /**
     * Reading any input either succeeds or reports what is wrong: a file of random bytes, and valid
     * files with bytes inserted, removed or repeated.
     */
    @Test
    void mutatedInputNeverBreaksReading() throws Exception {
        UniformRandomProvider random = new Seeds(4).stream("fuzz");
        FaultyDisk good = new FaultyDisk(CAPACITY);
        RecordLog log = RecordLog.open(good, "me", e -> {});
        log.append(IntStream.range(0, 30).mapToObj(i -> entry("record " + i)).toList());
        log.writeSnapshot(List.of(entry("s"), entry("t")));
        log.append(List.of(entry("u"), entry("v")));
        List<String> names = good.list();
        int read = 0;
        for (int i = 0; i < 30_000; i++) {
            FaultyDisk disk = good.copy();
            String name = names.get(random.nextInt(names.size()));
            disk.overwrite(name, mutated(disk.read(name, 1 << 20), random));
            try {
                RecordLog.open(disk, "me", e -> {});
                read++;
            } catch (StoreException named) {
                assertEquals(1, named.getMessage().lines().count());
            }
            Inspection.inspect(disk, e -> {});
        }
        assertTrue(read > 300 && read < 29_000, read + " were read without an error");
    }

    private static byte[] mutated(byte[] from, UniformRandomProvider random) {
        int at = random.nextInt(from.length + 1);
        int length = random.nextInt(from.length - at + 1);
        ByteBuffer out;
        switch (random.nextInt(4)) {
            case 0 -> {
                byte[] noise = new byte[random.nextInt(400)];
                random.nextBytes(noise);
                return noise;
            }
            case 1 -> {
                byte[] noise = new byte[length % 9];
                random.nextBytes(noise);
                out = ByteBuffer.allocate(from.length + noise.length);
                out.put(from, 0, at).put(noise).put(from, at, from.length - at);
            }
            case 2 -> {
                out = ByteBuffer.allocate(from.length - length);
                out.put(from, 0, at).put(from, at + length, from.length - at - length);
            }
            default -> {
                out = ByteBuffer.allocate(from.length + length);
                out.put(from, 0, at + length).put(from, at, from.length - at);
            }
        }
        return out.array();
    }
}
