/**
 * Who leads: a key in the key-value store, attached to a lease that the leader keeps renewing.
 *
 * <p>The term is the revision at which the leader key was written. It is also the workers' token.
 */
package org.dewreach.leadership;
