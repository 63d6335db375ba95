package org.dewreach.scheduling;

import org.dewreach.model.Job;

/**
 * Tasks of a job that a placement pass could not place.
 *
 * @param job their job
 * @param tasks the number of unplaced tasks that the quota of the job's team allows to start now
 */
public record UnplacedTasks(Job job, int tasks) {}
