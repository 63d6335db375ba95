/**
 * The choice of machine: SortFirstFit after Zhou et al. (GLOBECOM 2017), with quotas, guarantees
 * and zone rules checked on the way.
 */
package org.dewreach.placement;
