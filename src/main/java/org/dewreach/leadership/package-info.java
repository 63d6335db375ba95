/**
 * Who leads: a key in the state service, attached to a hold that the leader keeps extending.
 *
 * <p>The term is the revision at which the leader key was written. It is also the workers' token.
 */
package org.dewreach.leadership;
