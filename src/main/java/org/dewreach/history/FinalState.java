package org.dewreach.history;

import org.dewreach.wire.JobState;

/**
 * The final state of a job.
 *
 * @param jobState done or cancelled
 * @param done the number of its tasks that were completed
 */
public record FinalState(JobState jobState, int done) {}
