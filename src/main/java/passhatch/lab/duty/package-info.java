/** Checks the state machines of the duties with a model checker and under random faults. */
package passhatch.lab.duty;
