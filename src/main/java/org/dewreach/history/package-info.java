/**
 * Final states of jobs, which every controller keeps in memory, so that they remain available
 * across changes of leader and outages of the key-value store.
 *
 * <p>Owns the stored form of a final state, and the bounded copy of the final states that a
 * controller has in memory. May call {@code store} and {@code wire}; it never writes to the store,
 * and never adds a state that is not durable.
 *
 * <p>Mutable classes are not thread-safe; they run on the controller's event loop.
 */
package org.dewreach.history;
