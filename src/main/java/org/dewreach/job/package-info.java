/**
 * Jobs: state machine, progress, admission check and durable record of a job.
 *
 * <p>A job is one submission of a user; it consists of tasks, see {@code task}.
 */
package org.dewreach.job;
