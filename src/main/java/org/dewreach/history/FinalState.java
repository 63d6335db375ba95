package org.dewreach.history;

import org.dewreach.wire.JobState;

/**
 * How a job ended.
 *
 * @param jobState done or cancelled
 * @param done how many of its tasks were done
 */
public record FinalState(JobState jobState, int done) {}
