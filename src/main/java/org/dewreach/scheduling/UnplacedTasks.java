package org.dewreach.scheduling;

import org.dewreach.model.Job;

/**
 * Tasks of a job that fitted nowhere in a placement pass.
 *
 * @param job the job
 * @param tasks how many of its tasks its team's quota would let start now
 */
public record UnplacedTasks(Job job, int tasks) {}
