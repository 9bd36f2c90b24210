/** Bodies on their way from one connection to another, within one budget of bytes. */
package passhatch.proxy.flow;
