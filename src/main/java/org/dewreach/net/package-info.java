/**
 * HTTP over Netty's NIO transport: one event loop serves requests, sends requests and runs the
 * core.
 *
 * <p>One thread means no locks and few context switches, which a small share of a CPU asks for.
 * This is the only package that does network I/O and reads clocks.
 */
package org.dewreach.net;
