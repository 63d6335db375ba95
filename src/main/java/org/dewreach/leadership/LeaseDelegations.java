package org.dewreach.leadership;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.dewreach.config.Settings;
import org.dewreach.peer.DelegationRequest;
import org.dewreach.peer.DelegationResponse;

/**
 * The leader's side of {@link DelegateRenewer}: until when other nodes may have renewed leases of a
 * zone's workers.
 *
 * <p>A delegate renews leases, so a lease counts as expired only if it would be had every node of
 * the machine's zone renewed it for as long as it may. A node may from {@link
 * DelegateRenewer#ISOLATION_TIMEOUT_MICROS} after its last response from a leader until the end of
 * what that response delegated. Each request repeats the timestamp of the last response that
 * arrived, which proves that the node was in contact then, and says when it last renewed leases as
 * a delegate. Of a node that a new leader has not heard, it assumes the most that an earlier leader
 * can have delegated until the new one could act.
 */
public final class LeaseDelegations {
  /** What is known of another controller. */
  private static final class PeerState {
    final String zone;
    boolean contactProven;
    long lastContactAt;
    long renewedAt = Long.MIN_VALUE;
    long delegatedUntil = Long.MIN_VALUE;

    PeerState(String zone) {
      this.zone = zone;
    }
  }

  private static final long COUNTED_ISOLATION_TIMEOUT_MICROS =
      DelegateRenewer.ISOLATION_TIMEOUT_MICROS
          - ClockDrift.maxOver(DelegateRenewer.ISOLATION_TIMEOUT_MICROS)
          - 20_000;

  private final Map<String, PeerState> peers = new HashMap<>();
  private final long term;
  private final long maxDelegatedMicros;
  private final String ownZone;
  private final LongSupplier ownRenewalAt;
  private long authorityFrom = -1;
  private long ownDelegationUntil = Long.MIN_VALUE;

  /**
   * The delegations of a term.
   *
   * @param ownRenewalAt when this node last renewed leases as a delegate itself: guards against a
   *     term that goes on after an outage and counts leases without what it renewed in between
   */
  public LeaseDelegations(long term, Settings settings, LongSupplier ownRenewalAt) {
    this.ownRenewalAt = ownRenewalAt;
    this.term = term;
    this.maxDelegatedMicros = settings.workers().maxDelegationMicros();
    this.ownZone = settings.zone();
    for (Settings.Member member : settings.members()) {
      peers.put(member.name(), new PeerState(member.zone()));
    }
  }

  /** The term acts: from here on no earlier one delegates anything. Later calls change nothing. */
  public void onAuthorityGained(long nowMicros) {
    if (authorityFrom < 0) {
      authorityFrom = nowMicros;
    }
  }

  /** The zone of a controller, or null if none has the name. */
  public String zoneOf(String name) {
    PeerState node = peers.get(name);
    return node == null ? null : node.zone;
  }

  /**
   * Answers a node that requests a delegation.
   *
   * @param delegatedMicros for how long from now on it may renew leases
   */
  public DelegationResponse onRequest(
      DelegationRequest request, long delegatedMicros, long nowMicros) {
    PeerState node = peers.get(request.node());
    if (node == null) {
      return DelegationResponse.REFUSED;
    }
    if (provesContact(request, nowMicros)) {
      node.contactProven = true;
      node.lastContactAt = Math.max(node.lastContactAt, request.echoedTimestampMicros());
      node.renewedAt = Math.max(node.renewedAt, latestRenewalAt(request, nowMicros));
    }
    node.delegatedUntil = Math.max(node.delegatedUntil, nowMicros + delegatedMicros);
    return new DelegationResponse(term, delegatedMicros, nowMicros);
  }

  /** True if the request repeats the timestamp of a response of this term. */
  private boolean provesContact(DelegationRequest request, long nowMicros) {
    long mark = request.echoedTimestampMicros();
    return authorityFrom >= 0 && mark >= authorityFrom && mark <= nowMicros;
  }

  /** The latest time at which the node can have renewed a lease as a delegate. */
  private static long latestRenewalAt(DelegationRequest request, long nowMicros) {
    long since = request.sinceRenewalMicros();
    if (since < 0) {
      // It has not since its start; an earlier process of it may have.
      since = request.uptimeMicros();
    }
    return nowMicros - since + ClockDrift.maxOver(since);
  }

  /** This node itself may renew its workers' leases until then, should it lose its authority. */
  public void delegateToSelf(long untilMicros) {
    ownDelegationUntil = Math.max(ownDelegationUntil, untilMicros);
  }

  /** The latest time at which any node may yet renew leases of the zone without the leader. */
  public long delegatedUntil(String zone) {
    long latest = zone.equals(ownZone) ? ownDelegationUntil : Long.MIN_VALUE;
    for (PeerState node : peers.values()) {
      if (node.zone.equals(zone)) {
        latest =
            Math.max(latest, node.contactProven ? node.delegatedUntil : delegationAssumedFor(node));
      }
    }
    return latest;
  }

  private long delegationAssumedFor(PeerState node) {
    return Math.max(authorityFrom + maxDelegatedMicros, node.delegatedUntil);
  }

  /** The latest time at which a delegate may have renewed leases of the zone. */
  public long renewedUntil(String zone, long nowMicros) {
    long latest = zone.equals(ownZone) ? ownRenewalAt.getAsLong() : Long.MIN_VALUE;
    for (PeerState node : peers.values()) {
      if (!node.zone.equals(zone)) {
        continue;
      }
      if (!node.contactProven) {
        latest = Math.max(latest, delegationAssumedFor(node));
      } else if (nowMicros <= node.lastContactAt + COUNTED_ISOLATION_TIMEOUT_MICROS) {
        latest = Math.max(latest, node.renewedAt);
      } else {
        latest = Math.max(latest, Math.max(node.renewedAt, node.delegatedUntil));
      }
    }
    return latest;
  }
}
