package passhatch.proxy.flow;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;

/**
 * Admits request bodies to memory. A body is read from its client only after space for all of its
 * bytes that may have to be buffered has been reserved, so a body that has been admitted can always
 * be received completely, in whatever order the bytes of different clients arrive. Bodies that have
 * to wait are admitted in the order in which they came. A body that fits into one read of its
 * connection is always admitted, because its bytes arrive together with the head of the request.
 *
 * <p>The class has no clock: the owner of a reservation decides how long to wait for it.
 */
public final class BodyAdmission {

    /** Number of bytes of a body that one read of a connection may bring, with the head. */
    static final int FIRST_READ_BYTES = Relay.MAX_READ_BYTES;

    private final BufferBudget budget;
    private final long maxBytes;
    private final Executor executor;
    private final ArrayDeque<Reservation> waiting = new ArrayDeque<>();
    private boolean admissionScheduled;

    /**
     * The first reads of the bodies that wait. They do not count against the limit, as many waiting
     * bodies could otherwise keep each other from being admitted.
     */
    private long waitingBytes;

    /**
     * Creates an admission without any reservation.
     *
     * @param budget is charged for the reserved space that is not used yet
     * @param maxBytes a body that does not fit into one read is admitted only if the budget's
     *     count, without the first reads of bodies that wait, is at most this number of bytes
     *     afterwards
     * @param executor runs the admission of waiting bodies after space has been released
     */
    public BodyAdmission(BufferBudget budget, long maxBytes, Executor executor) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.executor = executor;
        budget.setReleaseListener(this::onSpaceReleased);
    }

    /**
     * Reserves space for a body.
     *
     * @param bytes the space that the body needs
     * @param onAdmitted called later if the body has to wait and is then admitted
     */
    Reservation reserve(long bytes, Runnable onAdmitted) {
        Reservation reservation = new Reservation(bytes, onAdmitted);
        if (!reservation.admitted) {
            waiting.add(reservation);
            waitingBytes += reservation.firstReadBytes;
            if (waiting.peek() == reservation && reservation.fits()) {
                admitFirst();
            }
        }
        return reservation;
    }

    private void onSpaceReleased() {
        if (!waiting.isEmpty() && !admissionScheduled) {
            admissionScheduled = true;
            executor.execute(this::admitWaiting);
        }
    }

    private void admitWaiting() {
        admissionScheduled = false;
        while (!waiting.isEmpty() && waiting.peek().fits()) {
            admitFirst().onAdmitted.run();
        }
    }

    private Reservation admitFirst() {
        Reservation first = waiting.poll();
        waitingBytes -= first.firstReadBytes;
        first.admit();
        return first;
    }

    /** The space that is reserved for one body. */
    final class Reservation {
        private final Runnable onAdmitted;
        private final long firstReadBytes;
        private long missingBytes;
        private long reservedBytes;
        private boolean admitted;

        private Reservation(long bytes, Runnable onAdmitted) {
            this.onAdmitted = onAdmitted;
            this.firstReadBytes = Math.min(bytes, FIRST_READ_BYTES);
            this.reservedBytes = firstReadBytes;
            this.missingBytes = bytes - firstReadBytes;
            this.admitted = missingBytes == 0;
            budget.add(reservedBytes);
        }

        private boolean fits() {
            long otherBytes = budget.bufferedBytes() - waitingBytes;
            return otherBytes + firstReadBytes + missingBytes <= maxBytes;
        }

        private void admit() {
            admitted = true;
            budget.add(missingBytes);
            reservedBytes += missingBytes;
            missingBytes = 0;
        }

        /** Returns whether the body may be read. */
        boolean admitted() {
            return admitted;
        }

        /** Records that a part of the space is used by buffered bytes, which are charged apart. */
        void use(long bytes) {
            long used = Math.min(bytes, reservedBytes);
            reservedBytes -= used;
            budget.remove(used);
        }

        /** Releases the space that is not used; the body is not admitted later. */
        void release() {
            missingBytes = 0;
            use(reservedBytes);
            if (waiting.remove(this)) {
                waitingBytes -= firstReadBytes;
                onSpaceReleased();
            }
        }
    }
}
