package org.dewreach.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.dewreach.config.Settings;
import org.dewreach.wire.Codec;

/**
 * The leader's side of {@link DelegateRenewer}: until when other nodes may have answered a zone's
 * workers.
 *
 * <p>What a delegate answers renews leases, so a lease counts as over only if it would be had every
 * node of the machine's zone answered for as long as it may. A node may from {@link
 * DelegateRenewer#OUT_OF_CONTACT_MICROS} after it was last answered by a leader until the end of
 * what that answer delegated. Each asking names the time of the last answer that arrived, so it
 * proves that the node was in contact then, and it tells when the node last renewed leases as a
 * delegate. Of a node that a new leader has not heard, it assumes the most that an earlier leader
 * can have delegated until the new one could act.
 */
public final class LeaseDelegations {
  /** What is known of a node. */
  private static final class Node {
    final String zone;
    boolean heard;
    long inContactAt;
    long answeredAt = Long.MIN_VALUE;
    long delegatedUntil = Long.MIN_VALUE;

    Node(String zone) {
      this.zone = zone;
    }
  }

  private static final long OUT_OF_CONTACT_MICROS =
      DelegateRenewer.OUT_OF_CONTACT_MICROS
          - ClockDrift.within(DelegateRenewer.OUT_OF_CONTACT_MICROS)
          - 20_000;

  private final Map<String, Node> nodes = new HashMap<>();
  private final long term;
  private final long maxDelegatedMicros;
  private final String ownZone;
  private final LongSupplier ownRenewalAt;
  private long authorityFrom = -1;
  private long ownUntil = Long.MIN_VALUE;

  /**
   * The delegations of a term.
   *
   * @param ownRenewalAt when this node last renewed leases as a delegate itself: guards against a
   *     term that goes on after an outage and counts leases without what it answered in between
   */
  public LeaseDelegations(long term, Settings settings, LongSupplier ownRenewalAt) {
    this.ownRenewalAt = ownRenewalAt;
    this.term = term;
    this.maxDelegatedMicros = settings.workers().maxDelegationMicros();
    this.ownZone = settings.zone();
    for (Settings.Member member : settings.members()) {
      nodes.put(member.name(), new Node(member.zone()));
    }
  }

  /** The term acts: from here on no earlier one delegates anything. Later calls change nothing. */
  public void onAuthorityGained(long nowMicros) {
    if (authorityFrom < 0) {
      authorityFrom = nowMicros;
    }
  }

  /** The zone of a node, or null. */
  public String zone(String name) {
    Node node = nodes.get(name);
    return node == null ? null : node.zone;
  }

  /**
   * Answers a node that asks.
   *
   * @param delegatedMicros how long it may answer for from now on
   */
  public ObjectNode onRequest(JsonNode request, long delegatedMicros, long nowMicros) {
    Node node = nodes.get(request.path("node").asText());
    if (node == null) {
      return Codec.map().put("term", 0);
    }
    long echo = request.path("echo").asLong(-1);
    if (echo >= authorityFrom && echo <= nowMicros && authorityFrom >= 0) {
      node.heard = true;
      node.inContactAt = Math.max(node.inContactAt, echo);
      long ago = request.path("answered_ago").asLong(-1);
      // One that has not since its start may have before: an earlier process of it.
      long since = ago < 0 ? request.path("up").asLong(0) : ago;
      node.answeredAt = Math.max(node.answeredAt, nowMicros - since + ClockDrift.within(since));
    }
    node.delegatedUntil = Math.max(node.delegatedUntil, nowMicros + delegatedMicros);
    return Codec.map().put("term", term).put("lent", delegatedMicros).put("at", nowMicros);
  }

  /** This node itself may answer its workers until then, should it lose its authority. */
  public void delegatedToSelf(long untilMicros) {
    ownUntil = Math.max(ownUntil, untilMicros);
  }

  /** The latest time at which any node may yet answer workers of the zone without the leader. */
  public long delegatedUntil(String zone) {
    long latest = zone.equals(ownZone) ? ownUntil : Long.MIN_VALUE;
    for (Node node : nodes.values()) {
      if (node.zone.equals(zone)) {
        latest = Math.max(latest, node.heard ? node.delegatedUntil : delegatedToUnheard(node));
      }
    }
    return latest;
  }

  private long delegatedToUnheard(Node node) {
    return Math.max(authorityFrom + maxDelegatedMicros, node.delegatedUntil);
  }

  /** The latest time at which a delegate may have answered workers of the zone. */
  public long answeredUntil(String zone, long nowMicros) {
    long latest = zone.equals(ownZone) ? ownRenewalAt.getAsLong() : Long.MIN_VALUE;
    for (Node node : nodes.values()) {
      if (!node.zone.equals(zone)) {
        continue;
      }
      if (!node.heard) {
        latest = Math.max(latest, delegatedToUnheard(node));
      } else if (nowMicros <= node.inContactAt + OUT_OF_CONTACT_MICROS) {
        latest = Math.max(latest, node.answeredAt);
      } else {
        latest = Math.max(latest, Math.max(node.answeredAt, node.delegatedUntil));
      }
    }
    return latest;
  }
}
