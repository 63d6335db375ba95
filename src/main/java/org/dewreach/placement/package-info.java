/**
 * The choice of a machine for a task: the SortFirstFit algorithm (Zhou et al., GLOBECOM 2017),
 * extended with checks of quotas, guarantees and zone rules; and the order in which waiting jobs
 * are placed.
 *
 * <p>Reads jobs and machines, and changes neither. Owns its indexes and usage accounts, which the
 * {@code state} package keeps up to date.
 *
 * <p>Not thread-safe; runs on the controller's event loop.
 */
package org.dewreach.placement;
