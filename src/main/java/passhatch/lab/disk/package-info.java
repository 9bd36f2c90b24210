/** An in-memory disk with injected faults, for tests of the store and its users. */
package passhatch.lab.disk;
