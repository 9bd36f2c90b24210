package passhatch.distribution;

/** Read access to the committed state that a source serves to its followers. */
interface CommittedView {

    long epoch();

    ConfigState state();

    /** Returns the time since the state was last known to be current, in microseconds. */
    long stateAgeUs(long nowUs);
}
