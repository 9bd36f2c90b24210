/**
 * Drills: fault-injection runs against real processes of the program, and the checks of their
 * results.
 */
package passhatch.lab.drill;
