/**
 * Cluster membership: which machines belong to the cluster, and which of them can be relied on.
 *
 * <p>{@link org.dewreach.membership.FleetManager} runs the regular parts in rounds, including
 * autoscaling. {@link org.dewreach.membership.FailureDetector} detects machines that are silent,
 * lost or unreachable, {@link org.dewreach.membership.PartitionDetector} detects that this
 * controller is the one that is partitioned, and {@link
 * org.dewreach.membership.MachineHealthMonitor} acts on both. {@link
 * org.dewreach.membership.HandoverPolicy} decides whether a leader without its workers steps down.
 * {@link org.dewreach.membership.MachineDrainer} drains machines that are reclaimed or faulty, and
 * {@link org.dewreach.membership.CloudReconciler} compares the fleet with the cloud's list. {@link
 * org.dewreach.membership.RecoveryTracker} tracks the machines that a new leader has not reconciled
 * yet, and {@link org.dewreach.membership.StalledRecoveryResolver} ends a recovery that stays open
 * over several terms.
 *
 * <p>Machines are released through {@code autoscaling} only, and tasks are never placed here. Not
 * thread-safe; runs on the controller's event loop.
 */
package org.dewreach.membership;
