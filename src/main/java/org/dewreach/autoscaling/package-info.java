/**
 * Scale out and scale in: how much capacity the queue needs, which machines to rent for it, and
 * which to drain and release.
 *
 * <p>This package alone rents and releases machines. It never binds or stops tasks.
 */
package org.dewreach.autoscaling;
