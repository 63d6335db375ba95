package org.dewreach.leadership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.dewreach.config.Settings;
import org.dewreach.peer.ContactRequest;
import org.dewreach.peer.ContactResponse;
import org.dewreach.peer.PeerMessageCodec;
import org.dewreach.port.ConnectionPool;
import org.dewreach.port.Outbox;
import org.dewreach.port.Target;

/**
 * Which of the workers that a leader does not hear the other controllers hear.
 *
 * <p>A worker that its leader does not answer tries the next controller, which sends it back, and
 * so on: if only the leader is cut off from the workers, another one hears them all the time.
 */
public final class PeerReachabilityPoller {
  /** What the other controllers have told, as far as it is recent. */
  public enum Report {
    /** Some controller has told nothing, and none hears the workers. */
    INCOMPLETE,
    /** Every controller has told that it does not hear them either. */
    HEARD_NOWHERE,
    /** A controller hears a good part of them. */
    HEARD_ELSEWHERE
  }

  private static final long REQUEST_INTERVAL_MICROS = 1_000_000;
  private static final long REQUEST_TIMEOUT_MICROS = 900_000;

  /** What was told longer ago does not count. */
  private static final long RESPONSE_VALID_MICROS = 3_500_000;

  /** So many machines stand for all, which keeps the question small. */
  private static final int MAX_SAMPLE = 60;

  /** A few workers heard, of one in this many asked for, may be chance. */
  private static final int MIN_HEARD_DIVISOR = 4;

  /** What one controller told. */
  private record PeerResponse(long receivedAtMicros, int requested, int heard) {
    boolean reachesPeer() {
      return heard > 0 && heard * MIN_HEARD_DIVISOR >= requested;
    }
  }

  private final Outbox outbox;
  private final List<String> others;
  private final Map<String, PeerResponse> latestResponses = new HashMap<>();
  private long nextRequestAt;

  /** Nothing asked yet. */
  public PeerReachabilityPoller(Outbox outbox, Settings settings) {
    this.outbox = outbox;
    this.others = settings.members().stream().map(Settings.Member::name).toList();
  }

  /**
   * Asks all others again if that is due.
   *
   * @param unheard the machines that this leader does not hear, listed only when they are needed
   * @param withinMicros for how long a heartbeat counts
   */
  public void poll(Supplier<List<String>> unheard, long withinMicros, long nowMicros) {
    if (nowMicros < nextRequestAt) {
      return;
    }
    nextRequestAt = nowMicros + REQUEST_INTERVAL_MICROS;
    List<String> machines = sample(unheard.get());
    if (!machines.isEmpty()) {
      ContactRequest request = new ContactRequest(machines, withinMicros);
      others.forEach(other -> poll(other, request));
    }
  }

  private void poll(String other, ContactRequest request) {
    outbox.call(
        new Target.Member(other),
        ConnectionPool.LEADERSHIP,
        "POST",
        PeerMessageCodec.CONTACTS_PATH,
        PeerMessageCodec.encode(request),
        REQUEST_TIMEOUT_MICROS,
        (now, status, body) -> {
          Optional<ContactResponse> response = PeerMessageCodec.decodeContactResponse(status, body);
          response.ifPresent(
              told ->
                  latestResponses.put(
                      other,
                      new PeerResponse(now, request.machines().size(), told.reachableMachines())));
        });
  }

  /** Machines from all over the list. */
  private static List<String> sample(List<String> machines) {
    int step = (machines.size() + MAX_SAMPLE - 1) / MAX_SAMPLE;
    List<String> sample = new ArrayList<>();
    for (int i = 0; i < machines.size(); i += step) {
      sample.add(machines.get(i));
    }
    return sample;
  }

  /** What is known from the others now. */
  public Report report(long nowMicros) {
    latestResponses
        .values()
        .removeIf(told -> told.receivedAtMicros() < nowMicros - RESPONSE_VALID_MICROS);
    if (latestResponses.values().stream().anyMatch(PeerResponse::reachesPeer)) {
      return Report.HEARD_ELSEWHERE;
    }
    return latestResponses.size() < others.size() ? Report.INCOMPLETE : Report.HEARD_NOWHERE;
  }
}
