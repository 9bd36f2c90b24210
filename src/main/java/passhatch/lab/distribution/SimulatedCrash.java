package passhatch.lab.distribution;

/** Thrown to end a simulated process in the middle of an operation. */
final class SimulatedCrash extends RuntimeException {

    private static final long serialVersionUID = 1;

    SimulatedCrash() {
        super("simulated crash", null, false, false);
    }
}
