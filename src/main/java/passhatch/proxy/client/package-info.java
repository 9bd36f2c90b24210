/** The callers' side: connections, requests, answers. */
package passhatch.proxy.client;
