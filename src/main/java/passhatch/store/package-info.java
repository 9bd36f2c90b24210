/**
 * Durable storage: a record log with snapshots, which accesses the disk through the small interface
 * {@link passhatch.store.Disk}.
 */
package passhatch.store;
