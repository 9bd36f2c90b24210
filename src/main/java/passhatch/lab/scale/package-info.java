/**
 * Measures the memory, processor time, traffic and latency of the program's processes as lists,
 * fleets and request paths grow.
 */
package passhatch.lab.scale;
