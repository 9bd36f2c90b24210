/**
 * Distribution of configuration changes: a few replicas keep a versioned log and commit its entries
 * by majority, relays on the control machines of each zone forward the changes, and the agent of
 * every machine follows a source. The classes are pure state machines: the caller passes in the
 * time and the received messages, and the classes call back to send messages and to write to disk.
 */
package passhatch.distribution;
