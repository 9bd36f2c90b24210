/**
 * Simulated replicas, relays and subscribers of configuration changes, and what is checked of them.
 */
package passhatch.lab.distribution;
