package passhatch.fleet;

import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Keeps the latest of equal values, so that a value that arrives again and again is held in memory
 * once. Of values that fall on one place only the last is known; the others are just not shared.
 */
final class Interner<T> {

    private final AtomicReferenceArray<T> slots;

    /** {@code size} is a power of two. */
    Interner(int size) {
        slots = new AtomicReferenceArray<>(size);
    }

    /** An equal value that was seen lately, or this one. */
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
