/** Common parts of the proxy: clock, log, file descriptors, addresses. */
package passhatch.proxy.base;
