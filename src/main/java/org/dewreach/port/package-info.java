/**
 * The boundary of the single-threaded core: events in, effects out.
 *
 * <p>The core accesses sockets, clocks and other machines only through these types, so production
 * and the simulated cluster of the tests run the same code.
 */
package org.dewreach.port;
