/**
 * Membership in simulated time: the program's own state machine, with a network and processes that
 * fail.
 */
package passhatch.lab.fleet;
