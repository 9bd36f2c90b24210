/**
 * Duties: exclusive jobs, each of which at most one process holds at a time. A majority of voters
 * grants a lease on a duty, and the terms of the lease serve as fencing tokens.
 */
package passhatch.duty;
