/**
 * The boundary of the single-threaded core: events in, effects out.
 *
 * <p>The core sees sockets, clocks and other machines only through these types, so production and
 * the tests' simulated cluster drive the same code.
 */
package org.dewreach.port;
