/**
 * The proxy: runs the decision module on real sockets. A single event-loop thread owns all state.
 */
package passhatch.proxy;
