/**
 * Simulates membership in virtual time: the product's own state machine, with a network and
 * processes that fail.
 */
package passhatch.lab.fleet;
