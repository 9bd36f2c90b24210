/**
 * Distribution of configuration changes: a versioned log that a few replicas keep by majority, that
 * the control machines of each zone relay, and that the agent of every machine follows. The classes
 * are pure state machines: the caller passes in the time and the received messages, and they
 * request what to send and what to write.
 */
package passhatch.distribution;
