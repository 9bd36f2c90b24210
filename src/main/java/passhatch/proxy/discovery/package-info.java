/** The list of backends and the watch on it. */
package passhatch.proxy.discovery;
