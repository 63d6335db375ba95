/**
 * Client of the consensus-backed key-value store (revisions, watches, leases, conditional
 * transactions), and the leader's queue of grouped writes to it.
 *
 * <p>Owns the store's HTTP interface ({@code KeyValueCodec}), the layout of the keys under {@code
 * dw/}, which hold everything that must survive a process, and rate limits. May call {@code port}
 * and {@code wire}. It interprets no stored value, except for the id of the transaction that wrote
 * it: each record's format belongs to the package that owns the record.
 *
 * <p>Mutable classes are not thread-safe; they run on the controller's event loop.
 */
package org.dewreach.store;
