package org.dewreach.controller;

/**
 * Statistics of a term for operators.
 *
 * @param phase the term's phase
 * @param jobs the number of jobs in the cluster state
 * @param machines the number of machines in the cluster state
 * @param tasksBound the number of tasks that are bound to machines
 * @param tasksWaiting the number of tasks that the last placement pass could not bind
 * @param writesQueued the number of writes that wait to be sent
 */
record TermStats(
    LeadershipTerm.Phase phase,
    int jobs,
    int machines,
    int tasksBound,
    int tasksWaiting,
    int writesQueued) {}
