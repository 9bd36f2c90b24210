/**
 * Lab tools, packaged in a jar of their own: drills with real processes, stand-ins for the systems
 * around the program, simulations, measurements and reports.
 */
package passhatch.lab;
