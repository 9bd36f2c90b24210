package passhatch.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A disk that is a folder of the file system. The folder is locked as long as this object is open.
 */
public final class FolderDisk implements Disk {

    private static final String LOCK_NAME = "lock";

    private final Path folder;
    private final FileChannel lockFile;
    private final Map<String, FileChannel> openFiles = new HashMap<>();

    private FolderDisk(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /**
     * Opens and locks a folder, after creating it if it does not exist.
     *
     * @throws StoreException.InUse if another process, or another object in this process, has
     *     locked the folder
     */
    public static FolderDisk open(Path folder) throws IOException, StoreException.InUse {
        Files.createDirectories(folder);
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(LOCK_NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return new FolderDisk(folder, channel);
            }
        } catch (OverlappingFileLockException lockedHere) {
            // This case is reported below, like a lock that another process holds.
        }
        channel.close();
        throw new StoreException.InUse(folder.toString());
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile)
                    .map(f -> f.getFileName().toString())
                    .filter(n -> !n.equals(LOCK_NAME))
                    .toList();
        }
    }

    @Override
    public long size(String name) throws IOException {
        return Files.size(folder.resolve(name));
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        long size = size(name);
        if (size > maxBytes) {
            throw new IOException(
                    name + " has " + size + " bytes, and at most " + maxBytes + " are read");
        }
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public void create(String name) throws IOException {
        Files.createFile(folder.resolve(name));
    }

    private FileChannel openChannel(String name) throws IOException {
        FileChannel channel = openFiles.get(name);
        if (channel == null) {
            channel =
                    FileChannel.open(
                            folder.resolve(name),
                            StandardOpenOption.WRITE,
                            StandardOpenOption.APPEND);
            openFiles.put(name, channel);
        }
        return channel;
    }

    private void closeFile(String name) throws IOException {
        FileChannel channel = openFiles.remove(name);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void append(String name, ByteBuffer bytes) throws IOException {
        FileChannel channel = openChannel(name);
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    @Override
    public void force(String name) throws IOException {
        openChannel(name).force(true);
    }

    @Override
    public void forceFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        closeFile(from);
        closeFile(to);
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        openChannel(name).truncate(size);
    }

    @Override
    public void delete(String name) throws IOException {
        closeFile(name);
        Files.delete(folder.resolve(name));
    }

    @Override
    public void close() throws IOException {
        for (FileChannel channel : openFiles.values()) {
            channel.close();
        }
        openFiles.clear();
        // Closing the channel releases the lock. Closing the channel again has no effect.
        lockFile.close();
    }
}
