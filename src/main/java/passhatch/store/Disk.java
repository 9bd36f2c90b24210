package passhatch.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One folder on a disk, as far as the store needs it: flat names, files that only grow or are cut.
 * What is not forced may be lost, in part or whole and in any order, when the power fails. After
 * any call that failed the state of its file is not known.
 */
public interface Disk extends AutoCloseable {

    /** Names of all files, in no order. */
    List<String> list() throws IOException;

    /** Size of a file in bytes. */
    long size(String name) throws IOException;

    /**
     * All of a file.
     *
     * @param maxBytes bytes that it may have; a larger one is an error and is not read
     */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Makes an empty file; its name stays for sure once {@link #forceFolder} has returned. */
    void create(String name) throws IOException;

    /** Writes at the end of a file. */
    void append(String name, ByteBuffer bytes) throws IOException;

    /** Returns once all of a file's bytes will be there after a power loss. */
    void force(String name) throws IOException;

    /** Returns once all names made, changed and deleted so far will be so after a power loss. */
    void forceFolder() throws IOException;

    /**
     * Gives a file another name; a file that has that name already is replaced in the same moment.
     */
    void rename(String from, String to) throws IOException;

    /** Cuts a file down to a size. */
    void truncate(String name, long size) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Puts a whole file in place: after a power loss it is there as before, or as given. */
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

    /** Gives up the folder. */
    @Override
    void close() throws IOException;
}
