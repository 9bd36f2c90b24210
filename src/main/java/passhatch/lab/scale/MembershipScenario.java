package passhatch.lab.scale;

/** What happens to the simulated fleet while it is measured. */
enum MembershipScenario {
    /** Memory of one member's state, as an agent holds it. */
    MEMORY,
    /** Nothing happens and nothing is lost. */
    REST,
    /** Processes restart and machines fail, more often than in the real fleet by a known factor. */
    CHURN,
    /** Datagrams are lost, and nobody fails. */
    LOSS,
    /** One process is killed. */
    DEATH,
    /** One process restarts and learns of all others. */
    REJOIN,
    /** One in 25 is killed at once. */
    ZONE,
    /** One in ten is killed at once and started again. */
    TENTH,
    /** One in seven is cut off from the others for a while. */
    REGION
}
