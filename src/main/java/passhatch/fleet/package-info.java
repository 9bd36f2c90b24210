/**
 * Implements membership among the processes of the program, as a state machine that uses no clock,
 * threads, sockets or files.
 */
package passhatch.fleet;
