/**
 * Membership among the program's own processes: a state machine without clock, threads, sockets or
 * files.
 */
package passhatch.fleet;
