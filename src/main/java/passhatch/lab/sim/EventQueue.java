package passhatch.lab.sim;

import java.util.Arrays;

/**
 * Event queue and clock of a discrete-event simulation. Events are polled in order of time, and
 * events of the same time in the order in which they were scheduled. As nothing else affects the
 * order, a simulation that draws from seeded streams is reproducible.
 *
 * <p>The queue is a binary heap over arrays of primitive keys; scheduling allocates memory only
 * when these arrays grow. The queue is not thread-safe.
 *
 * @param <E> the type of events, for instance {@link Runnable}
 */
public final class EventQueue<E> {

    private static final int INITIAL_CAPACITY = 64;

    private long[] timesUs = new long[INITIAL_CAPACITY];
    private long[] sequenceNumbers = new long[INITIAL_CAPACITY];
    private Object[] events = new Object[INITIAL_CAPACITY];
    private int size;
    private long nextSequenceNumber;
    private long nowUs;

    /**
     * Creates an empty queue.
     *
     * @param startUs the time at which the clock starts, in microseconds
     */
    public EventQueue(long startUs) {
        this.nowUs = startUs;
    }

    /**
     * Returns the simulated time in microseconds: the time of the last polled event, or a later
     * time set by {@link #advanceTo}.
     */
    public long nowUs() {
        return nowUs;
    }

    /** Returns the number of scheduled events. */
    public int size() {
        return size;
    }

    /** Returns whether no event is scheduled. */
    public boolean isEmpty() {
        return size == 0;
    }

    /**
     * Schedules an event at a given time.
     *
     * @param timeUs when the event takes place, in microseconds; not before now
     */
    public void scheduleAt(long timeUs, E event) {
        if (timeUs < nowUs) {
            throw new IllegalArgumentException(
                    "event at " + timeUs + " us, before now, " + nowUs + " us");
        }
        if (size == events.length) {
            grow();
        }
        siftUp(timeUs, nextSequenceNumber++, event);
        size++;
    }

    /**
     * Schedules an event after a delay.
     *
     * @param delayUs how long after now the event takes place, in microseconds; not negative
     */
    public void scheduleAfter(long delayUs, E event) {
        scheduleAt(Math.addExact(nowUs, delayUs), event);
    }

    /**
     * Removes the next event and sets the clock to its time.
     *
     * @param limitUs latest time, inclusive, at which the polled event may take place, in
     *     microseconds
     * @return the event, or null if no event takes place up to that time; the clock is then
     *     unchanged
     */
    public E pollUntil(long limitUs) {
        if (size == 0 || timesUs[0] > limitUs) {
            return null;
        }
        nowUs = timesUs[0];
        @SuppressWarnings("unchecked") // Only scheduleAt adds events.
        E next = (E) events[0];
        removeFirst();
        return next;
    }

    /**
     * Advances the clock without polling an event.
     *
     * @param timeUs the new time in microseconds; neither before now nor after the next event
     */
    public void advanceTo(long timeUs) {
        if (timeUs < nowUs || size > 0 && timesUs[0] < timeUs) {
            throw new IllegalArgumentException(
                    "cannot advance from " + nowUs + " us to " + timeUs + " us");
        }
        nowUs = timeUs;
    }

    private void grow() {
        int capacity = 2 * size;
        timesUs = Arrays.copyOf(timesUs, capacity);
        sequenceNumbers = Arrays.copyOf(sequenceNumbers, capacity);
        events = Arrays.copyOf(events, capacity);
    }

    private void removeFirst() {
        size--;
        if (size > 0) {
            siftDown(timesUs[size], sequenceNumbers[size], events[size]);
        }
        events[size] = null;
    }

    /**
     * Places an event at the free end of the heap and moves the event towards the root as needed.
     */
    private void siftUp(long timeUs, long sequenceNumber, Object event) {
        int hole = size;
        while (hole > 0) {
            int parent = (hole - 1) / 2;
            if (!isBefore(timeUs, sequenceNumber, parent)) {
                break;
            }
            move(parent, hole);
            hole = parent;
        }
        place(hole, timeUs, sequenceNumber, event);
    }

    /**
     * Places an event at the free root of the heap and moves the event towards the end as needed.
     */
    private void siftDown(long timeUs, long sequenceNumber, Object event) {
        int hole = 0;
        while (2 * hole + 1 < size) {
            int child = earlierChild(hole);
            if (isBefore(timeUs, sequenceNumber, child)) {
                break;
            }
            move(child, hole);
            hole = child;
        }
        place(hole, timeUs, sequenceNumber, event);
    }

    private int earlierChild(int parent) {
        int left = 2 * parent + 1;
        int right = left + 1;
        return right < size && isBefore(timesUs[right], sequenceNumbers[right], left)
                ? right
                : left;
    }

    private boolean isBefore(long timeUs, long sequenceNumber, int index) {
        return timeUs != timesUs[index]
                ? timeUs < timesUs[index]
                : sequenceNumber < sequenceNumbers[index];
    }

    private void move(int from, int to) {
        place(to, timesUs[from], sequenceNumbers[from], events[from]);
    }

    private void place(int index, long timeUs, long sequenceNumber, Object event) {
        timesUs[index] = timeUs;
        sequenceNumbers[index] = sequenceNumber;
        events[index] = event;
    }
}
