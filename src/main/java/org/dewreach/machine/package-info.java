/** Machines: what is known of them, and which room the leader's record says is free. */
package org.dewreach.machine;
