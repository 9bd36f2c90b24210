/** Common parts of the discrete-event simulations. */
package passhatch.lab.sim;
