package org.dewreach.controller;

import org.dewreach.leadership.ElectionState;
import org.dewreach.request.UserRequestStats;

/**
 * Statistics of a controller for operators.
 *
 * @param name the controller's name
 * @param leader the leader's name as last read or received by the controller, or null
 * @param election the controller's state in the election
 * @param term the term that the controller leads, or 0
 * @param openCalls the number of calls without an outcome yet
 * @param userRequests statistics of users' requests
 * @param finalStates the number of final states that the controller holds
 * @param finalStatesRevision the revision of the key-value store up to which the final states are
 *     known
 * @param termStats statistics of the term that the controller leads, or null
 */
record ControllerStats(
    String name,
    String leader,
    ElectionState election,
    long term,
    int openCalls,
    UserRequestStats userRequests,
    int finalStates,
    long finalStatesRevision,
    TermStats termStats) {}
