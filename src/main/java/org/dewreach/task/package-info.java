/**
 * Tasks: state machine of one attempt of a task that is bound to a machine.
 *
 * <p>A task without a binding needs no object; its job knows that it is pending.
 */
package org.dewreach.task;
