package passhatch.distribution;

/** The view of the committed state that a source serves. */
interface CommittedView {

    long epoch();

    ConfigState state();

    /** Returns the time since the state was known to be current, in microseconds. */
    long stateAgeUs(long nowUs);
}
