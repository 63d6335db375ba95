/**
 * HTTP over Netty's NIO transport: one event loop serves, calls and runs the core.
 *
 * <p>One thread means no locks and few context switches, which the small share of a core asks for.
 */
package org.dewreach.net;
