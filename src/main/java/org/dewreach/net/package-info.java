/**
 * HTTP over Netty's NIO transport: one event loop serves requests, sends requests and runs the
 * core.
 *
 * <p>One thread means no locks and few context switches, which a small share of a CPU asks for. No
 * other package but {@code cli} does network I/O or reads clocks.
 */
package org.dewreach.net;
