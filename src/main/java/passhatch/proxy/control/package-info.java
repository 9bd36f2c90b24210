/** The control address for operators and the metrics it serves. */
package passhatch.proxy.control;
