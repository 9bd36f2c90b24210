/** The client side of the proxy: connections, requests and responses. */
package passhatch.proxy.client;
