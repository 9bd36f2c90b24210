/** What discrete-event simulations have in common. */
package passhatch.lab.sim;
