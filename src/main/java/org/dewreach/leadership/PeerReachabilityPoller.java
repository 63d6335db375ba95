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
 * Polls the other controllers to find out whether workers that do not reach the leader reach
 * another controller.
 *
 * <p>A worker that gets no response from its leader tries the next controller, which redirects it
 * to the leader, and so on. If only the leader is partitioned from the workers, another controller
 * therefore receives their heartbeats all the time.
 */
public final class PeerReachabilityPoller {
  /** Summary of the recent responses of the other controllers. */
  public enum Report {
    /** Some other controller has not responded, and the workers reach none of those that have. */
    INCOMPLETE,
    /** Every other controller has responded, and the workers reach none of them either. */
    HEARD_NOWHERE,
    /** A considerable part of the workers reach another controller. */
    HEARD_ELSEWHERE
  }

  private static final long REQUEST_INTERVAL_MICROS = 1_000_000;
  private static final long REQUEST_TIMEOUT_MICROS = 900_000;

  /** Older responses do not count. */
  private static final long RESPONSE_VALID_MICROS = 3_500_000;

  /** The maximum number of machines sampled for a request, which keeps it small. */
  private static final int MAX_SAMPLED_MACHINES = 60;

  /**
   * A controller counts as reachable for the workers if at least one in this many of the requested
   * machines reach it; fewer may be chance.
   */
  private static final int MIN_REACHABLE_DIVISOR = 4;

  /** The latest response of one controller. */
  private record PeerResponse(long receivedAtMicros, int requested, int reachable) {
    boolean isPeerReachable() {
      return reachable > 0 && reachable * MIN_REACHABLE_DIVISOR >= requested;
    }
  }

  private final Outbox outbox;
  private final List<String> others;
  private final Map<String, PeerResponse> latestResponses = new HashMap<>();
  private long nextRequestAt;

  /** Creates a poller that has not sent a request yet. */
  public PeerReachabilityPoller(Outbox outbox, Settings settings) {
    this.outbox = outbox;
    this.others = settings.members().stream().map(Settings.Member::name).toList();
  }

  /**
   * Sends a request to each of the other controllers if the interval has passed.
   *
   * @param unreachable supplies the machines that do not reach this leader; evaluated only if a
   *     request is due
   * @param withinMicros the longest age of a heartbeat that counts
   */
  public void poll(Supplier<List<String>> unreachable, long withinMicros, long nowMicros) {
    if (nowMicros < nextRequestAt) {
      return;
    }
    nextRequestAt = nowMicros + REQUEST_INTERVAL_MICROS;
    List<String> machines = sample(unreachable.get());
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
              contacts ->
                  latestResponses.put(
                      other,
                      new PeerResponse(
                          now, request.machines().size(), contacts.reachableMachines())));
        });
  }

  /** Returns machines spread evenly over the list. */
  private static List<String> sample(List<String> machines) {
    int step = (machines.size() + MAX_SAMPLED_MACHINES - 1) / MAX_SAMPLED_MACHINES;
    List<String> sample = new ArrayList<>();
    for (int i = 0; i < machines.size(); i += step) {
      sample.add(machines.get(i));
    }
    return sample;
  }

  /** Returns the summary of the responses that are recent at the given time. */
  public Report report(long nowMicros) {
    latestResponses
        .values()
        .removeIf(response -> response.receivedAtMicros() < nowMicros - RESPONSE_VALID_MICROS);
    if (latestResponses.values().stream().anyMatch(PeerResponse::isPeerReachable)) {
      return Report.HEARD_ELSEWHERE;
    }
    return latestResponses.size() < others.size() ? Report.INCOMPLETE : Report.HEARD_NOWHERE;
  }
}
