/**
 * The single-threaded core: events with a time go in, effects come out.
 *
 * <p>No I/O, no clock and no unseeded randomness inside, so production and the tests' simulated
 * world run the same code.
 */
package org.dewreach.controller;
