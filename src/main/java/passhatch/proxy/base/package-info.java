/** What all parts of the proxy stand on: clock, log, descriptors, addresses. */
package passhatch.proxy.base;
