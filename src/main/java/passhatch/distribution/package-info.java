/**
 * Distribution of configuration changes: a versioned log replicated by majority among a few
 * replicas, relayed by the control machines of each zone, and followed by every machine's agent.
 * Pure state machines: they are told the time and what arrived, and say what to send and to write.
 */
package passhatch.distribution;
