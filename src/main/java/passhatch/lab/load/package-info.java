/** Clients: open load on real sockets, and what became of each request. */
package passhatch.lab.load;
