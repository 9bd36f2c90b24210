package passhatch.lab.soak;

/**
 * One request as it arrived at a backend.
 *
 * @param firstByteNs when its first byte was read, by {@link System#nanoTime}
 * @param wholeNs when its last byte was read; 0 if it never was
 */
record BackendAttempt(String id, long firstByteNs, long wholeNs) {}
