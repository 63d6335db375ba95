package org.dewreach.controller;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.dewreach.config.Settings;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.peer.PeerReadiness;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether this controller reports that it can take users' requests.
 *
 * <p>A controller can answer users if it leads, reaches the key-value store, or reaches the leader.
 * Once it has been able to do none of these for a while, it reports that it is not ready, so that
 * the load balancer moves its users to the others. It stays ready if the other controllers report
 * that they cannot answer users either: an outage of the key-value store makes no controller
 * unready.
 */
final class ReadinessMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(ReadinessMonitor.class);

  /** A leader renews its lease several times within this time. */
  private static final long LEADER_STORE_CONTACT_MICROS = 3_000_000;

  /** Longer than a follower's watch of the leader key stays open without a response. */
  private static final long FOLLOWER_STORE_CONTACT_MICROS = 10_000_000;

  /** A store that refuses requests is asked again several times within this time. */
  private static final long STORE_REPLY_MICROS = 3_000_000;

  /**
   * How long a controller is unable to answer users before it is isolated. Controllers notice an
   * outage of the key-value store up to a watch's duration apart, and until all have noticed it,
   * some still report that they can serve.
   */
  private static final long ISOLATED_AFTER_MICROS = 12_000_000;

  /** Also the time after the start of the process in which the store usually responds. */
  private static final long POLL_INTERVAL_MICROS = 1_000_000;

  private static final long POLL_TIMEOUT_MICROS = 900_000;

  /** Older reports of other controllers do not count. */
  private static final long REPORT_VALID_MICROS = 3_500_000;

  /** The latest report of another controller; null if it replied in another form. */
  private record ReceivedReport(long receivedAtMicros, PeerReadiness readiness) {
    boolean leads() {
      return readiness != null && readiness.leads();
    }

    boolean serves() {
      return readiness != null && readiness.serves();
    }
  }

  private final Outbox outbox;
  private final Collection<Settings.Member> members;
  private final Leadership leadership;
  private final Map<String, ReceivedReport> reports = new HashMap<>();
  private ReadinessState state = ReadinessState.STARTING;
  private long lastAbleAt;
  private long nextPollAt = POLL_INTERVAL_MICROS;

  ReadinessMonitor(Outbox outbox, Settings settings, Leadership leadership) {
    this.outbox = outbox;
    this.members = settings.members();
    this.leadership = leadership;
  }

  /** True if this controller reports to the load balancer that it can take users' requests. */
  boolean ready() {
    return state == ReadinessState.READY;
  }

  /** Returns what this controller reports to the others. */
  PeerReadiness readiness(long nowMicros) {
    return new PeerReadiness(leadership.canServe(), canAnswerUsers(nowMicros));
  }

  /** Updates the readiness, and polls the other controllers while this one cannot answer users. */
  void tick(long nowMicros) {
    reports
        .values()
        .removeIf(report -> report.receivedAtMicros() < nowMicros - REPORT_VALID_MICROS);
    if (!canAnswerByItself(nowMicros)) {
      poll(nowMicros);
    }
    update(nowMicros);
  }

  /**
   * Updates the readiness.
   *
   * <p>Guards against users on kept connections whose requests fail for as long as a partition
   * lasts, while this controller reports that it is ready.
   */
  private void update(long nowMicros) {
    if (canAnswerUsers(nowMicros)) {
      lastAbleAt = nowMicros;
      changeState(ReadinessState.READY, "can answer users");
    } else if (state == ReadinessState.ISOLATED && !anotherMayServe(nowMicros)) {
      changeState(ReadinessState.READY, "no other controller serves either");
    } else if (state == ReadinessState.READY
        && nowMicros - lastAbleAt > ISOLATED_AFTER_MICROS
        && anotherMayServe(nowMicros)) {
      changeState(ReadinessState.ISOLATED, "reaches neither the store nor the leader");
    }
  }

  private void changeState(ReadinessState next, String reason) {
    if (state != next) {
      LOG.info("readiness changed: from={} to={} reason=\"{}\"", state, next, reason);
      state = next;
    }
  }

  private boolean canAnswerUsers(long nowMicros) {
    return canAnswerByItself(nowMicros)
        || reports.values().stream().anyMatch(ReceivedReport::leads);
  }

  /** True if this controller leads, or reaches the key-value store, which holds every job. */
  private boolean canAnswerByItself(long nowMicros) {
    return leadership.canServe() || reachesStore(nowMicros);
  }

  private boolean reachesStore(long nowMicros) {
    long lastResponseAt = leadership.election().lastStoreResponseAt();
    long longestSilence =
        leadership.term() == null ? FOLLOWER_STORE_CONTACT_MICROS : LEADER_STORE_CONTACT_MICROS;
    return lastResponseAt >= 0 && nowMicros - lastResponseAt <= longestSilence;
  }

  /**
   * True if another controller reports that it can serve, or if neither a controller nor the store
   * replies at all: then this controller alone is cut off as far as it can tell. False if all that
   * reply report that they cannot serve, and without other controllers.
   *
   * <p>Guards against the only controller that users reach becoming unready in an outage of the
   * store, in which the store refuses requests.
   */
  private boolean anotherMayServe(long nowMicros) {
    if (!reports.isEmpty()) {
      return reports.values().stream().anyMatch(ReceivedReport::serves);
    }
    return !members.isEmpty() && isStoreSilent(nowMicros);
  }

  private boolean isStoreSilent(long nowMicros) {
    long lastReplyAt = leadership.election().lastStoreReplyAt();
    return lastReplyAt < 0 || nowMicros - lastReplyAt > STORE_REPLY_MICROS;
  }

  private void poll(long nowMicros) {
    if (nowMicros < nextPollAt) {
      return;
    }
    nextPollAt = nowMicros + POLL_INTERVAL_MICROS;
    members.forEach(member -> poll(member.name()));
  }

  private void poll(String member) {
    outbox.call(
        new Target.Member(member),
        "GET",
        PeerMessageCodec.READINESS_PATH,
        null,
        POLL_TIMEOUT_MICROS,
        (now, status, body) -> {
          if (status > 0) {
            PeerReadiness readiness =
                PeerMessageCodec.decodePeerReadiness(status, body).orElse(null);
            reports.put(member, new ReceivedReport(now, readiness));
          }
        });
  }
}
