/** The backend side of the proxy: pooled connections and the decoding of responses. */
package passhatch.proxy.backend;
