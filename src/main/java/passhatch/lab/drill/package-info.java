/** Drills: real processes of the program, faults between them, and what must hold at the end. */
package passhatch.lab.drill;
