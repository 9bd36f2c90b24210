/** Simulates replicas, relays and subscribers of configuration changes, and checks invariants. */
package passhatch.lab.distribution;
