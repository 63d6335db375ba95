/**
 * HTTP servers and clients on Netty's NIO transport, and the event loop that runs the controller.
 *
 * <p>A single event loop thread accepts requests, sends requests and runs the controller logic: a
 * controller has a small share of a CPU, and one thread needs no locks and few context switches.
 * Only this package and {@code cli} do network I/O or read clocks.
 */
package org.dewreach.net;
