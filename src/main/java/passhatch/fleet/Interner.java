package passhatch.fleet;

import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Shares equal values, so that a value that is received repeatedly is held in memory only once.
 * Each slot keeps only the latest value that hashes to it. A value that was replaced in its slot is
 * no longer shared.
 */
final class Interner<T> {

    private final AtomicReferenceArray<T> slots;

    /** Creates an interner with {@code size} slots, a power of two. */
    Interner(int size) {
        slots = new AtomicReferenceArray<>(size);
    }

    /**
     * Returns an equal earlier value if this interner still holds one, and otherwise the given
     * value.
     */
    T intern(T value) {
        int hash = value.hashCode();
        int slot = (hash ^ hash >>> Short.SIZE) & slots.length() - 1;
        T known = slots.getPlain(slot);
        if (value.equals(known)) {
            return known;
        }
        slots.setRelease(slot, value);
        return value;
    }
}
