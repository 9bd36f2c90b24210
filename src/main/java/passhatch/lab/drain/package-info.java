/**
 * Checks the rule on draining servers from outside the proxy: a checker of recorded runs, and a
 * seeded simulation of the watch on discovery, the lease of the list and the decision module.
 */
package passhatch.lab.drain;
