/**
 * Jobs, tasks and machines as the leader knows them: their state machines and what is bound where.
 *
 * <p>A task refers to its job and its machine, and both list their tasks, so the three stand in one
 * package. Each class has one method that changes its state. Nothing here sends messages, logs or
 * knows how anything is stored.
 */
package org.dewreach.model;
