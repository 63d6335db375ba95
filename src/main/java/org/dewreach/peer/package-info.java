/** What controllers say to each other, as MessagePack at {@code internal_addr}. */
package org.dewreach.peer;
