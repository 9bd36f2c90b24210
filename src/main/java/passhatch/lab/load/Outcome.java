package passhatch.lab.load;

/** What became of a request, as its client saw it. */
public enum Outcome {
    /** The whole answer of a backend, in its time. */
    SERVED,
    /** The same, too late. */
    LATE,
    /** Turned away with a promise that trying again is harmless. */
    REFUSED,
    /** Answered as failed. */
    FAILED,
    /** No answer, as the process that had it, or was to have it, was killed or held by a fault. */
    CUT,
    /** No answer though its process ran: it broke the rule. */
    LOST,
    /** A 200 with a body that no backend gave for it. */
    SPOILT
}
