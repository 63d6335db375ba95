/**
 * Jobs, tasks and machines as the leader knows them: their state machines and what is bound where.
 *
 * <p>A task refers to its job and its machine, and both list their tasks, so the three stand in one
 * package. Each of the three has one method, {@code become}, that changes its state; their other
 * concerns are classes of their own: {@link org.dewreach.model.HeartbeatState}, {@link
 * org.dewreach.model.DirectCommands}, {@link org.dewreach.model.FailureHistory}, {@link
 * org.dewreach.model.RetryBackoff} and {@link org.dewreach.model.StoredJobState}.
 *
 * <p>Nothing here sends messages, logs or knows how anything is stored. Not thread-safe; runs on
 * the controller's event loop.
 */
package org.dewreach.model;
