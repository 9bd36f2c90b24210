package passhatch.lab.distribution;

/** Ends a simulated process in the middle of what it does. */
final class SimulatedCrash extends RuntimeException {

    private static final long serialVersionUID = 1;

    SimulatedCrash() {
        super("simulated crash", null, false, false);
    }
}
