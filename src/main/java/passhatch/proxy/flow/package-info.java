/** Forwards bodies from one connection to another within a shared limit of buffered bytes. */
package passhatch.proxy.flow;
