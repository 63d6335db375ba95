package org.dewreach.controller;

import org.dewreach.leadership.ElectionState;
import org.dewreach.request.UserRequestStats;

/**
 * Numbers of a node for operators.
 *
 * @param name the node's name
 * @param leader the leader's name as the node knows it, or null
 * @param election the node's state in the election
 * @param term the term that the node leads, or 0
 * @param openCalls calls without an outcome yet
 * @param userRequests users' requests
 * @param finalStates how many final states the node knows
 * @param finalStatesRevision the revision of the key-value store up to which it knows them
 * @param termStats numbers of the term that the node leads, or null
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
