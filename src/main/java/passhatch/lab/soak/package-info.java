/**
 * Runs of one real proxy process with misbehaving clients and slow backends, and a checker that
 * judges them by the records of clients and backends alone.
 */
package passhatch.lab.soak;
