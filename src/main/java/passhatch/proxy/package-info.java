/**
 * The real proxy: the decision module on sockets. One event-loop thread owns everything in here.
 */
package passhatch.proxy;
