package passhatch.distribution;

/** What a source needs of the state that it serves. */
interface CommittedView {

    long epoch();

    ConfigState state();

    /** How long ago the state was known to be current, in microseconds. */
    long ageUs(long nowUs);
}
