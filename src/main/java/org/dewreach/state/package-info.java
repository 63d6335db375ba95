/**
 * The leader's cluster state of one term, and its durable form in the key-value store.
 *
 * <p>Owns the in-memory record of jobs, machines and bindings, the records of jobs and machines
 * under {@code dw/}, and the loading of both by a new leader. May call {@code model}, {@code
 * placement} and {@code store}; it never talks to workers, users or the cloud provider.
 */
package org.dewreach.state;
