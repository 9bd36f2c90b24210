/**
 * Simulates membership in virtual time. The state machine is that of the product; the network and
 * the processes are simulated and can fail.
 */
package passhatch.lab.fleet;
