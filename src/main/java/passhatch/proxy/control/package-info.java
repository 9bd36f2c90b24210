/** What operators ask, and the figures that they are told. */
package passhatch.proxy.control;
