/**
 * The single-threaded core of a controller: it receives events with their times and returns
 * effects.
 *
 * <p>{@code Controller} routes events: users' requests, workers' heartbeats, other controllers'
 * requests, replies to its own calls, and timer ticks. {@code Leadership} tracks whether this
 * controller leads; {@code LeadershipTerm} is one term as leader, whose components {@code
 * TermComponents} creates and connects.
 *
 * <p>Not thread-safe; runs on the controller's event loop. It does no I/O and uses no clock and no
 * unseeded randomness, so that production and the simulated cluster of the tests run the same code.
 */
package org.dewreach.controller;
