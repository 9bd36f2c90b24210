/**
 * Stand-ins for the systems around the program: discovery, backends and the network between peers.
 */
package passhatch.lab.standin;
