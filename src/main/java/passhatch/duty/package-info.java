/**
 * Duties that one process holds at a time: leases granted by a majority of voters, with terms as
 * fencing tokens.
 */
package passhatch.duty;
