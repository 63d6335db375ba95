/**
 * Client of the consensus-backed key-value store (revisions, watches, leases, conditional
 * transactions), and the leader's queue of grouped writes to it.
 *
 * <p>Owns the store's HTTP interface ({@code KeyValueCodec}), the layout of the keys under {@code
 * dw/}, where everything is kept that must outlive a process, and rate limits. May call {@code
 * port} and {@code wire}. It never interprets a stored value, beyond the id of the transaction that
 * wrote it: each record's format belongs to the package that owns the record.
 *
 * <p>Mutable classes are not thread-safe; they run on the controller's event loop.
 */
package org.dewreach.store;
