/** The backends' side: connections and what comes back on them. */
package passhatch.proxy.backend;
