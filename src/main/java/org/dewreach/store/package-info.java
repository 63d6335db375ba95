/**
 * The state service: its requests, and the leader's queue of grouped, conditional writes.
 *
 * <p>Everything that must outlive a process is kept there under {@code dw/}.
 */
package org.dewreach.store;
