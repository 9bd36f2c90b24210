package passhatch.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One folder on a disk, with the operations that the store needs: a flat set of names, and files
 * that are only appended to or truncated. After a power failure, data that was not forced may be
 * lost in part or whole and in any order. After a failed call the state of its file is unknown.
 */
public interface Disk extends AutoCloseable {

    /** Returns the names of all files, in no particular order. */
    List<String> list() throws IOException;

    /** Returns the size of a file in bytes. */
    long size(String name) throws IOException;

    /**
     * Reads a whole file.
     *
     * @param maxBytes maximum size; a larger file causes an exception and is not read
     */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Creates an empty file; its name is durable once {@link #forceFolder} has returned. */
    void create(String name) throws IOException;

    /** Appends to a file. */
    void append(String name, ByteBuffer bytes) throws IOException;

    /** Returns once all bytes of a file are durable. */
    void force(String name) throws IOException;

    /** Returns once all names created, changed and deleted so far are durable. */
    void forceFolder() throws IOException;

    /** Renames a file; an existing file of the new name is replaced atomically. */
    void rename(String from, String to) throws IOException;

    /** Truncates a file to a size in bytes. */
    void truncate(String name, long size) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Replaces a whole file: after a power loss it has either its old or its new content. */
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
