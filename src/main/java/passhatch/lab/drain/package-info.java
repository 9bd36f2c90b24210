/**
 * The rule on draining servers, checked from the outside: a checker of records, and a simulation by
 * seed of the watch on discovery, the lease on the list and the decision module.
 */
package passhatch.lab.drain;
