/** The command line. */
package passhatch.cli;
