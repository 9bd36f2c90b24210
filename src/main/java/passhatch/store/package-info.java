/** Durable storage: a record log with snapshots, over a small interface to the disk. */
package passhatch.store;
