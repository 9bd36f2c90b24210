/** The command line: the program's entry point, its commands and their options. */
package passhatch.cli;
