/**
 * Client of the state service, a replicated key-value store with revisions, watches, leases and
 * conditional transactions, and the leader's queue of grouped writes to it.
 *
 * <p>Everything that must outlive a process is kept there under {@code dw/}.
 */
package org.dewreach.store;
