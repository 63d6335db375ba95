/**
 * Which machines belong to the cluster and can be relied on.
 *
 * <p>{@link org.dewreach.membership.FleetManager} runs all parts in rounds, the autoscaling
 * included. {@link org.dewreach.membership.FailureDetector} tells which machines are silent, lost
 * or out of reach, {@link org.dewreach.membership.PartitionDetector} whether it is rather this node
 * that is cut off, and {@link org.dewreach.membership.MachineHealthMonitor} acts on both. {@link
 * org.dewreach.membership.MachineDrainer} drains machines that are reclaimed or faulty, {@link
 * org.dewreach.membership.CloudReconciler} compares the fleet with the cloud's list, and {@link
 * org.dewreach.membership.RecoveryTracker} knows what a new leader cannot rely on yet.
 *
 * <p>Machines are released through {@code autoscaling} only, and tasks are never placed here. Not
 * thread-safe; runs on the controller's event loop.
 */
package org.dewreach.membership;
