package org.dewreach.peer;

/**
 * A request of a leader that cannot determine the current state of a job while the key-value store
 * does not respond: asks another controller what that one knows about the job.
 *
 * @param jobId the job's id
 */
public record JobKnowledgeRequest(String jobId) {}
