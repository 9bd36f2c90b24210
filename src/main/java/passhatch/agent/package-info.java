/**
 * The agent: the process on each machine that drives the fleet's state machines over sockets and
 * disk.
 */
package passhatch.agent;
