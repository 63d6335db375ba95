package org.dewreach.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;
import org.dewreach.config.Settings;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.dewreach.store.KeyValueStore;
import org.dewreach.store.Keys;
import org.dewreach.store.RequestFailure;
import org.dewreach.wire.Codec;
import org.dewreach.wire.Heartbeat;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node's right to answer its own zone's workers for a while when it has lost everybody else.
 *
 * <p>When a zone is cut off, its workers reach only the controllers inside. Their tasks run on, but
 * without an answer under the term's token they die with the lease, a third of all replicas at
 * once. So the leader delegates to every node the right to answer reports, without any order, for a
 * while beyond their last contact. {@link LeaseDelegations} is the leader's side and says why no
 * rule is broken.
 *
 * <p>It is used only as a last resort: by a node that hears neither the leader nor the state
 * service, and for workers that have tried other nodes.
 */
public final class DelegateRenewer {
  private static final Logger LOG = LoggerFactory.getLogger(DelegateRenewer.class);

  /** Where a node asks the leader for it. */
  public static final String PATH = "/peer/stand-in";

  /**
   * Out of contact for this long, longer than a lease lasts without its leader. A default of this
   * project.
   */
  static final long OUT_OF_CONTACT_MICROS = 3_000_000;

  private static final long REQUEST_INTERVAL_MICROS = 1_000_000;
  private static final long TIMEOUT_MICROS = 1_000_000;

  /** Whether reports are answered here in the leader's stead. */
  private enum Phase {
    /** In contact, or without a right to it. */
    IDLE,
    /** Out of contact: answering. */
    ANSWERING
  }

  private final Outbox outbox;
  private final KeyValueStore state;
  private final String self;
  private final String zone;

  /** Machines that were sent on once since this node lost its lead, which they had followed. */
  private final Set<String> sentOn = new HashSet<>();

  private boolean led;

  private Phase phase = Phase.IDLE;
  private long term;
  private long until;
  private long contactAt;
  private long stateAt = -OUT_OF_CONTACT_MICROS;
  private long answeredAt = -1;
  private long echo = -1;
  private String echoOf = "";
  private long askAt;
  private long probeAt;

  /** Without any right yet. */
  public DelegateRenewer(Outbox outbox, KeyValueStore state, Settings settings) {
    this.outbox = outbox;
    this.state = state;
    this.self = settings.name();
    this.zone = settings.zone();
  }

  private void become(Phase next, String why) {
    if (phase != next) {
      LOG.info("lease renewal for term {}: {} -> {} ({})", term, phase, next, why);
      phase = next;
    }
  }

  /** Called when time has passed, with the leader as this node knows it. */
  public void tick(String leader, long nowMicros) {
    if (leader != null && !leader.equals(self) && nowMicros >= askAt) {
      askAt = nowMicros + REQUEST_INTERVAL_MICROS;
      ask(leader, nowMicros);
    }
    boolean lost = nowMicros - contactAt >= REQUEST_INTERVAL_MICROS;
    if (lost && nowMicros < until && nowMicros >= probeAt) {
      probeAt = nowMicros + REQUEST_INTERVAL_MICROS;
      // A node that reaches the state service is not cut off, and learns there who leads.
      state.get(
          Keys.LEADER,
          (now, result) -> {
            if (!(result instanceof RequestFailure)) {
              stateAt = now;
            }
          });
    }
    if (phase == Phase.ANSWERING && !mayAnswer(nowMicros)) {
      become(Phase.IDLE, nowMicros < until ? "in contact again" : "its time is over");
    }
  }

  private void ask(String leader, long nowMicros) {
    ObjectNode body = Codec.map().put("node", self).put("up", nowMicros);
    body.put("answered_ago", answeredAt < 0 ? -1 : nowMicros - answeredAt);
    body.put("echo", leader.equals(echoOf) ? echo : -1);
    outbox.call(
        new Target.Member(leader),
        "POST",
        PATH,
        body,
        TIMEOUT_MICROS,
        (now, status, answer) -> {
          if (status == HttpStatus.OK
              && answer != null
              && answer.path("term").asLong() >= Math.max(1, term)) {
            take(leader, answer, nowMicros, now);
          }
        });
  }

  private void take(String leader, JsonNode answer, long askedAt, long nowMicros) {
    term = answer.path("term").asLong();
    // Counted from the asking, which was before the leader counted, and less drift.
    long delegatedMicros = answer.path("lent").asLong();
    until = askedAt + delegatedMicros - ClockDrift.within(delegatedMicros);
    echo = answer.path("at").asLong();
    echoOf = leader;
    inContact(false, nowMicros);
  }

  /**
   * This node leads, with authority at this time.
   *
   * @param delegatedMicros what it may go on for after its authority
   */
  public void leading(long itsTerm, long delegatedMicros, long nowMicros) {
    term = itsTerm;
    until = nowMicros + delegatedMicros - ClockDrift.within(delegatedMicros);
    inContact(true, nowMicros);
  }

  private void inContact(boolean asLeader, long nowMicros) {
    contactAt = nowMicros;
    led = asLeader;
    sentOn.clear();
  }

  /** There is a later term, or none: what was delegated is over. */
  public void over(long latestTerm) {
    if (latestTerm > term) {
      until = 0;
    }
  }

  /** When a report was last answered here, or -1. */
  public long answeredAt() {
    return answeredAt;
  }

  /** Until when what is answered here may leave. */
  public long until() {
    return until;
  }

  private boolean mayAnswer(long nowMicros) {
    return nowMicros < until
        && nowMicros - contactAt >= OUT_OF_CONTACT_MICROS
        && nowMicros - stateAt >= OUT_OF_CONTACT_MICROS;
  }

  /** True if the report is to be answered here, in the leader's stead. */
  public boolean answers(Heartbeat report, long nowMicros) {
    if (!report.zone().equals(zone) || report.token() > term) {
      return false;
    }
    // A worker that followed this node until now has tried no other, and may well reach one. Noted
    // also before this node may answer: sent on twice, it would be back after its lease.
    boolean triedOthers = !led || !sentOn.add(report.machine());
    if (!triedOthers || !mayAnswer(nowMicros)) {
      return false;
    }
    become(Phase.ANSWERING, "out of contact");
    answeredAt = nowMicros;
    return true;
  }

  /** The answer: it renews the lease and orders nothing. */
  public ObjectNode answer() {
    ObjectNode answer = Codec.map().put("warrant", term);
    answer.putArray("orders");
    return answer;
  }
}
