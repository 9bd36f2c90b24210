package passhatch.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One folder on a disk, with the operations that the store needs. The folder has no subfolders, and
 * its files are only appended to or truncated. After a power failure, data that was not forced may
 * be lost, in whole or in part and in any order. After a failed call, the state of the file is
 * unknown.
 */
public interface Disk extends AutoCloseable {

    /** Returns the names of all files, in no particular order. */
    List<String> list() throws IOException;

    /** Returns the size of a file in bytes. */
    long size(String name) throws IOException;

    /**
     * Reads a whole file.
     *
     * @param maxBytes maximum size of the file in bytes
     * @throws IOException if the file is larger or cannot be read
     */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Creates an empty file. Its name is durable once {@link #forceFolder} has returned. */
    void create(String name) throws IOException;

    /** Appends bytes to a file. */
    void append(String name, ByteBuffer bytes) throws IOException;

    /** Makes all bytes of a file durable before it returns. */
    void force(String name) throws IOException;

    /** Makes all creations, renames and deletions of files so far durable before it returns. */
    void forceFolder() throws IOException;

    /** Renames a file. An existing file with the new name is replaced atomically. */
    void rename(String from, String to) throws IOException;

    /** Truncates a file to a size in bytes. */
    void truncate(String name, long size) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /**
     * Replaces the content of a file atomically: after a power loss the file has either its old or
     * its new content.
     */
    default void replace(String name, ByteBuffer bytes) throws IOException {
        String unfinished = name + ".new";
        if (list().contains(unfinished)) {
            delete(unfinished);
        }
        create(unfinished);
        append(unfinished, bytes);
        force(unfinished);
        rename(unfinished, name);
        forceFolder();
    }

    /** Closes the folder. */
    @Override
    void close() throws IOException;
}
