/**
 * Membership among the processes of the program, as a state machine without clock, threads, sockets
 * or files.
 */
package passhatch.fleet;
