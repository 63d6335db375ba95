/**
 * The leader's cluster state of one term, and its durable form in the key-value store.
 *
 * <p>Owns the in-memory state of jobs, machines and bindings, the stored records of both and of the
 * machine type catalog, and the loading of all of them by a new leader. May call {@code model},
 * {@code placement}, {@code store}, {@code history} for the form of final states, and {@code cloud}
 * for the catalog; it never talks to workers or users.
 *
 * <p>Mutable classes are not thread-safe; they run on the controller's event loop.
 */
package org.dewreach.state;
