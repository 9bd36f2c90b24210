/**
 * Load generator, which sends open-loop load over real sockets and records the outcome of each
 * request.
 */
package passhatch.lab.load;
