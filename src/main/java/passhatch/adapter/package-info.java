/** Adapter to the simulator's protocol of JSON lines. It makes no decisions. */
package passhatch.adapter;
