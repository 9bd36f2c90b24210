/**
 * Drills, which inject faults while real processes of the program run under load, and check the
 * results.
 */
package passhatch.lab.drill;
