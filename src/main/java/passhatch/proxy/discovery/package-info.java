/** The list of backends and the watch that keeps it current. */
package passhatch.proxy.discovery;
