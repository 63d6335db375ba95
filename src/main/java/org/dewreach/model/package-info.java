/**
 * Jobs, tasks and machines as the leader knows them: their phases, and which task is bound to which
 * machine.
 *
 * <p>A task refers to its job and its machine, and both list their tasks, so the three share a
 * package. Each of them changes its phase in one method, {@code changePhase}; their other concerns
 * are separate classes: {@link org.dewreach.model.HeartbeatState}, {@link
 * org.dewreach.model.DirectCommands}, {@link org.dewreach.model.FailureHistory}, {@link
 * org.dewreach.model.RetryBackoff} and {@link org.dewreach.model.StoredJobState}.
 *
 * <p>Nothing in this package sends messages, writes logs or depends on the stored form. The classes
 * are not thread-safe; they run on the controller's event loop.
 */
package org.dewreach.model;
