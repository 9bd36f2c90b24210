/** A disk that fails, for the tests of what is kept on one. */
package passhatch.lab.disk;
