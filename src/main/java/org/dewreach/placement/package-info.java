/**
 * The choice of machine: SortFirstFit after Zhou et al. (GLOBECOM 2017), with quotas, guarantees
 * and zone rules checked on the way; and the order in which waiting jobs are placed.
 *
 * <p>Looks at jobs and machines, and changes neither. Owns its indexes and accounts, which {@code
 * state} keeps up to date.
 *
 * <p>Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.placement;
