/**
 * Tools around the program, in a jar of their own: drills with real processes, stand-ins, reports.
 */
package passhatch.lab;
