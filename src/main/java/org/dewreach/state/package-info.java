/**
 * The leader's cluster state of one term, and its durable form in the key-value store.
 *
 * <p>This package owns the in-memory state of jobs, machines and bindings, the stored records of
 * jobs and machines and of the machine type catalog, and the loading of these records by a new
 * leader. It may call {@code model}, {@code placement}, {@code store}, {@code history} for the form
 * of final states, and {@code cloud} for the catalog. It never communicates with workers or users.
 *
 * <p>Mutable classes are not thread-safe; they run on the controller's event loop.
 */
package org.dewreach.state;
