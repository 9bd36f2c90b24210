/**
 * Implements the agent, a process on each machine that connects the fleet's state machines to
 * sockets and the disk.
 */
package passhatch.agent;
