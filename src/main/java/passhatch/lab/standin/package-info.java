/**
 * What stands in for the systems around the program: discovery, backends, the way between peers.
 */
package passhatch.lab.standin;
