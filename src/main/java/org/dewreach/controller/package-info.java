/**
 * The single-threaded core: events with a time go in, effects come out.
 *
 * <p>{@code Controller} routes events: users' requests, workers' heartbeats, other controllers'
 * requests, replies and the passing of time. {@code Leadership} tells whether this node leads;
 * {@code LeadershipTerm} is one term as leader, whose parts {@code TermComponents} wires.
 *
 * <p>Not thread-safe; runs on the controller's event loop. No I/O, no clock and no unseeded
 * randomness inside, so production and the tests' simulated cluster run the same code.
 */
package org.dewreach.controller;
