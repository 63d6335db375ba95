package org.dewreach.leadership;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.dewreach.config.Settings;
import org.dewreach.peer.DelegationRequest;
import org.dewreach.peer.DelegationResponse;

/**
 * The leader's side of {@link DelegateRenewer}: the latest time at which other controllers may have
 * renewed leases of a zone's workers.
 *
 * <p>Since delegates renew leases, the leader counts a lease as expired only once it would have
 * expired even if every controller in the machine's zone had renewed it for as long as it was
 * allowed to. A controller may renew from {@link DelegateRenewer#ISOLATION_TIMEOUT_MICROS} after
 * its last response from a leader until the delegation in that response ends. Each request repeats
 * the timestamp of the last response that arrived, which proves that the controller was in contact
 * at the time of that timestamp, and states when the controller last renewed a lease as a delegate.
 * For a controller that has not yet proven contact in this term, the leader assumes the longest
 * delegation that an earlier leader can have made before this term gained authority.
 */
public final class LeaseDelegations {
  /** The state that the leader keeps about another controller. */
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
  private long authorityGainedAt = -1;
  private long ownDelegationUntil = Long.MIN_VALUE;

  /**
   * Creates the delegations of a term.
   *
   * @param ownRenewalAt supplies when this controller itself last renewed a lease as a delegate.
   *     Guards against a term that resumes after an outage and counts leases as expired without the
   *     renewals that this controller made in between
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

  /**
   * Records that the term has gained authority: from this time on, no earlier term delegates. Only
   * the first call has an effect.
   */
  public void onAuthorityGained(long nowMicros) {
    if (authorityGainedAt < 0) {
      authorityGainedAt = nowMicros;
    }
  }

  /** Returns the zone of the controller with this name, or null if there is none. */
  public String zoneOf(String name) {
    PeerState peer = peers.get(name);
    return peer == null ? null : peer.zone;
  }

  /**
   * Responds to a controller that requests a delegation.
   *
   * @param delegatedMicros for how long from now on the controller may renew leases
   */
  public DelegationResponse onRequest(
      DelegationRequest request, long delegatedMicros, long nowMicros) {
    PeerState peer = peers.get(request.node());
    if (peer == null) {
      return DelegationResponse.REFUSED;
    }
    if (provesContact(request, nowMicros)) {
      peer.contactProven = true;
      peer.lastContactAt = Math.max(peer.lastContactAt, request.echoedTimestampMicros());
      peer.renewedAt = Math.max(peer.renewedAt, latestRenewalAt(request, nowMicros));
    }
    peer.delegatedUntil = Math.max(peer.delegatedUntil, nowMicros + delegatedMicros);
    return new DelegationResponse(term, delegatedMicros, nowMicros);
  }

  /** True if the request repeats the timestamp of a response of this term. */
  private boolean provesContact(DelegationRequest request, long nowMicros) {
    long timestamp = request.echoedTimestampMicros();
    return authorityGainedAt >= 0 && timestamp >= authorityGainedAt && timestamp <= nowMicros;
  }

  /** Returns the latest time at which the controller can have renewed a lease as a delegate. */
  private static long latestRenewalAt(DelegationRequest request, long nowMicros) {
    long since = request.sinceRenewalMicros();
    if (since < 0) {
      // No renewal since the process started; an earlier process of that controller may have
      // renewed.
      since = request.uptimeMicros();
    }
    return nowMicros - since + ClockDrift.maxOver(since);
  }

  /**
   * Records until when this controller itself may renew leases in its zone if it loses its
   * authority.
   */
  public void delegateToSelf(long untilMicros) {
    ownDelegationUntil = Math.max(ownDelegationUntil, untilMicros);
  }

  /**
   * Returns the latest time until which any controller may still renew leases of the zone without
   * the leader.
   */
  public long delegatedUntil(String zone) {
    long latest = zone.equals(ownZone) ? ownDelegationUntil : Long.MIN_VALUE;
    for (PeerState peer : peers.values()) {
      if (peer.zone.equals(zone)) {
        latest =
            Math.max(latest, peer.contactProven ? peer.delegatedUntil : delegationAssumedFor(peer));
      }
    }
    return latest;
  }

  private long delegationAssumedFor(PeerState peer) {
    return Math.max(authorityGainedAt + maxDelegatedMicros, peer.delegatedUntil);
  }

  /** Returns the latest time at which a delegate may have renewed leases of the zone. */
  public long renewedUntil(String zone, long nowMicros) {
    long latest = zone.equals(ownZone) ? ownRenewalAt.getAsLong() : Long.MIN_VALUE;
    for (PeerState peer : peers.values()) {
      if (!peer.zone.equals(zone)) {
        continue;
      }
      if (!peer.contactProven) {
        latest = Math.max(latest, delegationAssumedFor(peer));
      } else if (nowMicros <= peer.lastContactAt + COUNTED_ISOLATION_TIMEOUT_MICROS) {
        latest = Math.max(latest, peer.renewedAt);
      } else {
        latest = Math.max(latest, Math.max(peer.renewedAt, peer.delegatedUntil));
      }
    }
    return latest;
  }
}
