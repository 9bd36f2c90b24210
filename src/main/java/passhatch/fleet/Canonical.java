package passhatch.fleet;

import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Keeps the latest of equal values, so that a value that arrives again and again is held in memory
 * once. Of values that fall on one place only the last is known; the others are just not shared.
 */
final class Canonical<T> {

    private final AtomicReferenceArray<T> places;

    /** {@code size} is a power of two. */
    Canonical(int size) {
        places = new AtomicReferenceArray<>(size);
    }

    /** An equal value that was seen lately, or this one. */
    T of(T value) {
        int hash = value.hashCode();
        int place = (hash ^ hash >>> Short.SIZE) & places.length() - 1;
        T known = places.getPlain(place);
        if (value.equals(known)) {
            return known;
        }
        places.setRelease(place, value);
        return value;
    }
}
