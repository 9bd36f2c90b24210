package passhatch.lab.scale;

/** What happens in the simulated fleet while it is measured. */
enum MembershipScenario {
    /** Nothing happens. The memory that one agent uses for its membership state is measured. */
    MEMORY,
    /** No process fails or restarts, and no datagram is lost. */
    REST,
    /** Processes restart and machines fail, more often than in the real fleet by a fixed factor. */
    CHURN,
    /** Datagrams are lost, and no process fails. */
    LOSS,
    /** One process is killed. */
    DEATH,
    /** One process restarts, and then learns of all other members again. */
    REJOIN,
    /** One process in 25 is killed, all at the same time. */
    ZONE,
    /** One process in ten is killed, all at the same time, and started again shortly afterwards. */
    TENTH,
    /** One process in seven is partitioned from the others for a limited time. */
    REGION
}
