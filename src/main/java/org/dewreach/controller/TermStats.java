package org.dewreach.controller;

/**
 * Numbers of a term for operators.
 *
 * @param phase the term's phase
 * @param jobs jobs in the cluster state
 * @param machines machines in the cluster state
 * @param tasksBound tasks that are assigned to machines
 * @param tasksWaiting tasks that found no place in the last placement pass
 * @param writesQueued writes that wait to be sent
 */
record TermStats(
    LeadershipTerm.Phase phase,
    int jobs,
    int machines,
    int tasksBound,
    int tasksWaiting,
    int writesQueued) {}
