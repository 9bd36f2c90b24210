/** Measures what the program's processes cost as lists, fleets and call paths grow. */
package passhatch.lab.scale;
